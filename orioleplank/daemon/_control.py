"""Control stream to an instance: a task that keeps the stream open and reopens it on failure."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import grpc

from orioleplank._protos import orioleplank_upstream_pb2 as pb
from orioleplank._protos import orioleplank_upstream_pb2_grpc as rpc
from orioleplank.decision.quorum import (
    InstanceReported,
    InstanceUnreachable,
    LedgerAnswered,
    LedgerState,
    Message,
    ProbeInstance,
    PromoteAnswered,
    QueryLedger,
    SealAnswered,
    SendFollow,
    SendPromote,
    SendSeal,
)
from orioleplank.wire import decode_ledger_reply, decode_report

REOPEN_INTERVAL_S = 0.2
MAX_PENDING_REQUESTS = 1000

ControlEffect = ProbeInstance | QueryLedger | SendSeal | SendPromote | SendFollow


class ControlStream:
    """Sends control requests to an instance and posts the replies as messages.

    When the stream breaks, `InstanceUnreachable` is posted and pending ledger queries are answered
    as unreachable; other pending requests are dropped without a message.
    """

    def __init__(
        self,
        service: str,
        instance: str,
        channel: grpc.aio.Channel,
        post: Callable[[Message], None],
    ) -> None:
        self._service = service
        self._instance = instance
        self._channel = channel
        self._post = post
        self._outgoing: asyncio.Queue[pb.ControlRequest] = asyncio.Queue()
        self._pending: dict[int, ControlEffect] = {}
        self._last_request_id = 0
        self._is_open = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Open the stream and keep reopening it until `close`."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Cancel the stream; no further messages are posted for it."""
        if self._task is not None:
            self._task.cancel()

    def send_request(self, effect: ControlEffect) -> None:
        """Queue a request.

        It is dropped while the stream is not open or when `MAX_PENDING_REQUESTS` requests are
        pending; a ledger query is then answered as unreachable.
        """
        if not self._is_open or len(self._pending) >= MAX_PENDING_REQUESTS:
            self._report_unanswered(effect)
            return
        self._last_request_id += 1
        self._pending[self._last_request_id] = effect
        self._outgoing.put_nowait(_encode_request(self._last_request_id, effect))

    async def _run(self) -> None:
        while True:
            call = rpc.UpstreamStub(self._channel).Control()
            try:
                await self._read_replies(call)
            except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
                pass
            finally:
                call.cancel()
            self._handle_disconnect()
            await asyncio.sleep(REOPEN_INTERVAL_S)

    async def _read_replies(self, call: grpc.aio.StreamStreamCall) -> None:
        writer = asyncio.get_running_loop().create_task(self._write_requests(call))
        try:
            while (reply := await call.read()) is not grpc.aio.EOF:
                self._is_open = True
                self._handle_reply(reply)
        finally:
            writer.cancel()

    async def _write_requests(self, call: grpc.aio.StreamStreamCall) -> None:
        while True:
            await call.write(await self._outgoing.get())

    def _handle_disconnect(self) -> None:
        self._is_open = False
        pending, self._pending = self._pending, {}
        self._outgoing = asyncio.Queue()
        self._post(InstanceUnreachable(self._service, self._instance))
        for effect in pending.values():
            self._report_unanswered(effect)

    def _report_unanswered(self, effect: ControlEffect) -> None:
        if isinstance(effect, QueryLedger):
            state = LedgerState.UNREACHABLE
            self._post(LedgerAnswered(self._service, self._instance, effect.query_number, state))

    def _handle_reply(self, reply: pb.ControlReply) -> None:
        report = decode_report(self._instance, reply.report)
        effect = self._pending.pop(reply.id, None)
        match effect:
            case ProbeInstance(round_number=round_number):
                self._post(InstanceReported(self._service, report, round_number))
            case QueryLedger():
                self._post(decode_ledger_reply(effect, reply))
            case SendSeal(term=term):
                self._post(SealAnswered(self._service, term, reply.granted, report))
            case SendPromote(term=term):
                self._post(PromoteAnswered(self._service, term, reply.granted, report))
            case SendFollow() | None:
                self._post(InstanceReported(self._service, report))


def _encode_request(request_id: int, effect: ControlEffect) -> pb.ControlRequest:
    request = pb.ControlRequest(id=request_id)
    match effect:
        case ProbeInstance():
            request.ping.SetInParent()
        case QueryLedger(ledger_id=ledger_id, term=term, tombstone=True):
            request.tombstone.CopyFrom(pb.Tombstone(ledger_id=ledger_id, term=term))
        case QueryLedger(ledger_id=ledger_id, term=term):
            request.lookup.CopyFrom(pb.Lookup(ledger_id=ledger_id, term=term))
        case SendSeal(term=term):
            request.seal.term = term
        case SendPromote(term=term):
            request.promote.term = term
        case SendFollow(term=term, primary=primary, address=address):
            request.follow.CopyFrom(pb.Follow(term=term, primary=primary, address=address))
    return request
