"""Serves callers: one gRPC stream per caller, with replies in any order."""

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

# Messages above the configured limit are refused with a reply; above this multiple of it gRPC
# ends the stream.
GRPC_LIMIT_FACTOR = 4
CLOSE_GRACE_S = 1.0


class _Caller:
    """State of one caller's stream: outstanding requests and queued replies.

    When `limit` replies are queued, no more requests are read until the caller has read some.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._outstanding = 0
        self._is_reading = True
        self._queued_replies: asyncio.Queue[pb.CallerReply | None] = asyncio.Queue()
        self._has_capacity = asyncio.Event()
        self._has_capacity.set()

    def expect_reply(self) -> None:
        """Count a request that was read and has no reply yet."""
        self._outstanding += 1

    def end_reading(self) -> None:
        """Mark the caller's side as closed: no more requests follow."""
        self._is_reading = False
        self._queued_replies.put_nowait(None)

    def put(self, reply: pb.CallerReply) -> None:
        """Queue a reply, or a reconnect hint (a reply without an id)."""
        self._queued_replies.put_nowait(reply)
        if self._queued_replies.qsize() >= self._limit:
            self._has_capacity.clear()

    async def next(self) -> pb.CallerReply | None:
        """Wait for the next reply; return None after the last one.

        The last one is sent when the caller has closed its side and every request is answered.
        """
        while self._is_reading or self._outstanding:
            reply = await self._queued_replies.get()
            if self._queued_replies.qsize() < self._limit:
                self._has_capacity.set()
            if reply is not None:
                self._outstanding -= 1 if reply.id else 0
                return reply
        return None

    async def wait_for_capacity(self) -> None:
        """Wait until fewer replies than the limit are queued."""
        await self._has_capacity.wait()


class CallerServer(Service, rpc.CallerServicer):
    """Accepts callers' streams, passes requests to the decision service and replies back."""

    def __init__(self, address: str, limits: LimitSettings) -> None:
        super().__init__(names.CALLERS)
        self._address = address
        self._limits = limits
        self._caller_ids = count(1)
        self._callers: dict[int, _Caller] = {}
        self._server: grpc.aio.Server | None = None

    def start(self) -> None:
        """Start the gRPC server."""
        grpc_limit_bytes = self._limits.message_bytes * GRPC_LIMIT_FACTOR
        self._server = grpc.aio.server(
            options=(
                ("grpc.max_receive_message_length", grpc_limit_bytes),
                ("grpc.so_reuseport", 0),
            )
        )
        rpc.add_CallerServicer_to_server(self, self._server)
        self._server.add_insecure_port(self._address)
        asyncio.get_running_loop().create_task(self._server.start())

    def stop(self) -> Deferred[None]:
        """Stop the gRPC server; open streams are cancelled after `CLOSE_GRACE_S` seconds."""
        assert self._server is not None
        return Deferred.fromFuture(asyncio.ensure_future(self._server.stop(CLOSE_GRACE_S)))

    def receive(self, message: object) -> None:
        """Queue a reply or a reconnect hint; it is dropped when the caller has disconnected."""
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
        """Serve one caller until it has closed its side and received all its replies."""
        caller_id = next(self._caller_ids)
        caller = self._callers[caller_id] = _Caller(self._limits.replies_per_caller)
        self.kernel.get_service(names.DECISIONS).post(CallerConnected(caller_id))
        reader = asyncio.get_running_loop().create_task(
            self._read_requests(caller_id, caller, requests)
        )
        try:
            while (reply := await caller.next()) is not None:
                yield reply
        finally:
            reader.cancel()
            del self._callers[caller_id]
            self.kernel.get_service(names.DECISIONS).post(CallerDisconnected(caller_id))

    async def _read_requests(
        self, caller_id: int, caller: _Caller, requests: AsyncIterator[pb.CallerRequest]
    ) -> None:
        async for message in requests:
            caller.expect_reply()
            refusal = self._accept_request(caller_id, message)
            if refusal is not None:
                caller.put(encode_reply(message.id, refusal, False))
            await caller.wait_for_capacity()
        caller.end_reading()

    def _accept_request(self, caller_id: int, message: pb.CallerRequest) -> Refusal | None:
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
        self.kernel.get_service(names.DECISIONS).post(RequestArrived(caller_id, request))
        return None


def _refuse(reason: RefusalReason, detail: str) -> Refusal:
    party = Program(Mechanism.VALIDATION)
    return Refusal(reason, party, DidRun.NO, "read request", detail=detail)
