"""Serves callers: one gRPC stream each, replies in any order."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from itertools import count

import grpc
from google.protobuf.message import DecodeError
from twisted.internet.defer import Deferred

from orioleplank._exceptions import MalformedRequestError, MalformedTokenError
from orioleplank._protos import orioleplank_caller_pb2 as pb
from orioleplank._protos import orioleplank_caller_pb2_grpc as rpc
from orioleplank.daemon import _service_names as names
from orioleplank.decision.quorum import (
    CallerConnected,
    CallerDisconnected,
    DidRun,
    Mechanism,
    Program,
    Refusal,
    RefusalReason,
    Reply,
    RequestArrived,
    SendReconnect,
)
from orioleplank.kernel import Service
from orioleplank.settings import LimitSettings
from orioleplank.wire import decode_request, encode_reply

HARD_LIMIT_FACTOR = 4
CLOSE_GRACE_S = 1.0


class _Caller:
    """One caller's stream: the replies that wait for it."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._awaited = 0
        self._reading = True
        self._replies: asyncio.Queue[pb.CallerReply | None] = asyncio.Queue()
        self._room = asyncio.Event()
        self._room.set()

    def expect_reply(self) -> None:
        """Note that a request was read."""
        self._awaited += 1

    def end_reading(self) -> None:
        """Note that the caller sends no more requests."""
        self._reading = False
        self._replies.put_nowait(None)

    def put(self, reply: pb.CallerReply) -> None:
        """Add a reply."""
        self._replies.put_nowait(reply)
        if self._replies.qsize() >= self._limit:
            self._room.clear()

    async def next(self) -> pb.CallerReply | None:
        """Return the next reply, None when no more will come."""
        while self._reading or self._awaited:
            reply = await self._replies.get()
            if self._replies.qsize() < self._limit:
                self._room.set()
            if reply is not None:
                self._awaited -= 1 if reply.id else 0
                return reply
        return None

    async def wait_for_room(self) -> None:
        """Wait until fewer replies wait than the limit."""
        await self._room.wait()


class CallerServer(Service, rpc.CallerServicer):
    """Owns the callers' streams."""

    def __init__(self, address: str, limits: LimitSettings) -> None:
        super().__init__(names.CALLERS)
        self._address = address
        self._limits = limits
        self._numbers = count(1)
        self._callers: dict[int, _Caller] = {}
        self._server: grpc.aio.Server | None = None

    def start(self) -> None:
        """Listen."""
        hard_limit = self._limits.message_bytes * HARD_LIMIT_FACTOR
        self._server = grpc.aio.server(
            options=(
                ("grpc.max_receive_message_length", hard_limit),
                ("grpc.so_reuseport", 0),
            )
        )
        rpc.add_CallerServicer_to_server(self, self._server)
        self._server.add_insecure_port(self._address)
        asyncio.get_running_loop().create_task(self._server.start())

    def stop(self) -> Deferred[None]:
        """Close all streams."""
        assert self._server is not None
        return Deferred.fromFuture(asyncio.ensure_future(self._server.stop(CLOSE_GRACE_S)))

    def receive(self, message: object) -> None:
        """Send a reply or a hint to its caller, unless that has gone."""
        assert isinstance(message, (Reply, SendReconnect))
        caller = self._callers.get(message.caller)
        if caller is None:
            return
        match message:
            case Reply():
                caller.put(
                    encode_reply(message.request.id, message.outcome, message.should_reconnect)
                )
            case SendReconnect():
                caller.put(pb.CallerReply(move=True))

    async def Session(  # noqa: N802
        self, requests: AsyncIterator[pb.CallerRequest], context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.CallerReply]:
        """Serve one caller until it ends its side and has all its replies."""
        number = next(self._numbers)
        caller = self._callers[number] = _Caller(self._limits.replies_per_caller)
        self.kernel.get_service(names.DECISIONS).post(CallerConnected(number))
        reader = asyncio.get_running_loop().create_task(self._read(number, caller, requests))
        try:
            while (reply := await caller.next()) is not None:
                yield reply
        finally:
            reader.cancel()
            del self._callers[number]
            self.kernel.get_service(names.DECISIONS).post(CallerDisconnected(number))

    async def _read(
        self, number: int, caller: _Caller, requests: AsyncIterator[pb.CallerRequest]
    ) -> None:
        async for message in requests:
            caller.expect_reply()
            refusal = self._take(number, message)
            if refusal is not None:
                caller.put(encode_reply(message.id, refusal, False))
            await caller.wait_for_room()
        caller.end_reading()

    def _take(self, number: int, message: pb.CallerRequest) -> Refusal | None:
        if message.ByteSize() > self._limits.message_bytes:
            return _refuse(
                RefusalReason.TOO_LARGE, f"{self._limits.message_bytes} bytes are allowed"
            )
        try:
            request = decode_request(message, self.kernel.now(), self._limits.default_timeout)
        except MalformedTokenError as error:
            return _refuse(RefusalReason.MALFORMED_TOKEN, error.detail)
        except (MalformedRequestError, DecodeError, ValueError) as error:
            return _refuse(RefusalReason.MALFORMED_REQUEST, str(error))
        self.kernel.get_service(names.DECISIONS).post(RequestArrived(number, request))
        return None


def _refuse(reason: RefusalReason, detail: str) -> Refusal:
    party = Program(Mechanism.VALIDATION)
    return Refusal(reason, party, DidRun.NO, "read request", detail=detail)
