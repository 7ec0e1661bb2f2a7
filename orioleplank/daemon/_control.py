"""The control stream to an instance: a task that owns it and opens it again when it breaks."""

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

REOPEN_S = 0.2
WAITING_LIMIT = 1000

Question = ProbeInstance | QueryLedger | SendSeal | SendPromote | SendFollow


class ControlStream:
    """Sends questions to an instance and tells the answers."""

    def __init__(
        self,
        service: str,
        instance: str,
        channel: grpc.aio.Channel,
        tell: Callable[[Message], None],
    ) -> None:
        self._service = service
        self._instance = instance
        self._channel = channel
        self._tell = tell
        self._outgoing: asyncio.Queue[pb.ControlRequest] = asyncio.Queue()
        self._asked: dict[int, Question] = {}
        self._last_id = 0
        self._open = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Open the stream, and keep it open."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """End the stream."""
        if self._task is not None:
            self._task.cancel()

    def send_request(self, question: Question) -> None:
        """Send a question; while the stream is broken it is dropped."""
        if not self._open or len(self._asked) >= WAITING_LIMIT:
            self._give_up(question)
            return
        self._last_id += 1
        self._asked[self._last_id] = question
        self._outgoing.put_nowait(_write_question(self._last_id, question))

    async def _run(self) -> None:
        while True:
            call = rpc.UpstreamStub(self._channel).Control()
            try:
                await self._serve(call)
            except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
                pass
            finally:
                call.cancel()
            self._break()
            await asyncio.sleep(REOPEN_S)

    async def _serve(self, call: grpc.aio.StreamStreamCall) -> None:
        writer = asyncio.get_running_loop().create_task(self._write(call))
        try:
            while (reply := await call.read()) is not grpc.aio.EOF:
                self._open = True
                self._take(reply)
        finally:
            writer.cancel()

    async def _write(self, call: grpc.aio.StreamStreamCall) -> None:
        while True:
            await call.write(await self._outgoing.get())

    def _break(self) -> None:
        self._open = False
        asked, self._asked = self._asked, {}
        self._outgoing = asyncio.Queue()
        self._tell(InstanceUnreachable(self._service, self._instance))
        for question in asked.values():
            self._give_up(question)

    def _give_up(self, question: Question) -> None:
        if isinstance(question, QueryLedger):
            state = LedgerState.UNREACHABLE
            self._tell(LedgerAnswered(self._service, self._instance, question.query_number, state))

    def _take(self, reply: pb.ControlReply) -> None:
        report = decode_report(self._instance, reply.report)
        question = self._asked.pop(reply.id, None)
        match question:
            case ProbeInstance(round_number=number):
                self._tell(InstanceReported(self._service, report, number))
            case QueryLedger():
                self._tell(decode_ledger_reply(question, reply))
            case SendSeal(term=term):
                self._tell(SealAnswered(self._service, term, reply.granted, report))
            case SendPromote(term=term):
                self._tell(PromoteAnswered(self._service, term, reply.granted, report))
            case SendFollow() | None:
                self._tell(InstanceReported(self._service, report))


def _write_question(number: int, question: Question) -> pb.ControlRequest:
    request = pb.ControlRequest(id=number)
    match question:
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
