"""A stand-in upstream instance as a process: the upstream protocol over gRPC, orders over HTTP."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import AsyncIterator
from dataclasses import dataclass

import grpc
from twisted.web.server import Site

from orioleplank._protos import orioleplank_upstream_pb2 as pb
from orioleplank._protos import orioleplank_upstream_pb2_grpc as rpc
from orioleplank._reactor import get_reactor
from orioleplank.decision.quorum import (
    Boundary,
    LedgerState,
    Role,
    StatementStatus,
    TermHistory,
    TermStart,
)
from orioleplank.standin._admin import AdminResource, Counters, Faults
from orioleplank.standin._instance import Entry, Instance
from orioleplank.wire import decode_position, encode_position, encode_report

REPORT_PERIOD_S = 0.4
COALESCE_S = 0.002
POLL_S = 0.1
BATCH_ENTRIES = 500
SERVER_OPTIONS = (
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 500),
    ("grpc.http2.max_ping_strikes", 0),
)

_BOUNDARIES = {
    pb.BOUNDARY_AUTO: Boundary.AUTO,
    pb.BOUNDARY_BEGIN: Boundary.BEGIN,
    pb.BOUNDARY_STEP: Boundary.STEP,
    pb.BOUNDARY_COMMIT: Boundary.COMMIT,
    pb.BOUNDARY_ROLLBACK: Boundary.ROLLBACK,
}
_STATUSES = {
    StatementStatus.DONE: pb.STATEMENT_STATUS_DONE,
    StatementStatus.REPEATED: pb.STATEMENT_STATUS_REPEATED,
    StatementStatus.STALE_TERM: pb.STATEMENT_STATUS_STALE_TERM,
    StatementStatus.FAILED: pb.STATEMENT_STATUS_FAILED,
    StatementStatus.TOMBSTONED: pb.STATEMENT_STATUS_TOMBSTONED,
}
_LEDGER_STATES = {
    LedgerState.ABSENT: pb.LEDGER_STATE_ABSENT,
    LedgerState.FOUND: pb.LEDGER_STATE_FOUND,
    LedgerState.TOMBSTONED: pb.LEDGER_STATE_TOMBSTONED,
    LedgerState.STALE_TERM: pb.LEDGER_STATE_STALE_TERM,
}


@dataclass(frozen=True, slots=True)
class UpstreamOptions:
    """How a stand-in instance behaves."""

    # Name of the instance.
    name: str
    # HOST:PORT for proxies and replicas.
    listen: str
    # HOST:PORT for orders and audits.
    admin: str
    # Statements it runs at once.
    slots: int = 5
    # Connections it accepts.
    connections: int = 30
    # Seconds to open a connection.
    connect_time: float = 0.012
    # Seconds that a statement holds its slot.
    service_time: float = 0.002
    # Seconds by which replication lags.
    lag: float = 0.004


class UpstreamServer(rpc.UpstreamServicer):
    """Serves the upstream protocol for one instance."""

    def __init__(self, options: UpstreamOptions) -> None:
        self.options = options
        self.slots = options.slots
        self.instance = Instance(options.name, uuid.uuid4().hex)
        self.counters = Counters()
        self.faults = Faults(options.lag)
        self._connections = 0
        self._changed: set[asyncio.Event] = set()
        self._heard_primary = 0.0
        self._puller: asyncio.Task[None] | None = None

    # Connections.

    async def Connect(  # noqa: N802
        self, requests: AsyncIterator[pb.Statement], context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.StatementReply]:
        """Serve one database connection."""
        if self.counters.connections >= self.options.connections:
            self.counters.connections_exceeded += 1
            yield pb.StatementReply(status=pb.STATEMENT_STATUS_NO_CONNECTION)
            return
        self._connections += 1
        number = self._connections
        self.counters.connections += 1
        self.counters.most_connections = max(
            self.counters.most_connections, self.counters.connections
        )
        try:
            await asyncio.sleep(self.options.connect_time)
            yield pb.StatementReply(status=pb.STATEMENT_STATUS_DONE)
            async for statement in requests:
                yield await self._run(number, statement)
        finally:
            self.counters.connections -= 1
            self.instance.close_connection(number)

    async def _run(self, number: int, statement: pb.Statement) -> pb.StatementReply:
        if self.instance.leaving and statement.boundary in (pb.BOUNDARY_AUTO, pb.BOUNDARY_BEGIN):
            return pb.StatementReply(id=statement.id, status=pb.STATEMENT_STATUS_LEAVING)
        if self.counters.busy >= self.options.slots:
            self.counters.slots_exceeded += 1
            return pb.StatementReply(id=statement.id, status=pb.STATEMENT_STATUS_NO_SLOT)
        self.counters.busy += 1
        self.counters.most_busy = max(self.counters.most_busy, self.counters.busy)
        try:
            await asyncio.sleep(self.options.service_time)
        finally:
            self.counters.busy -= 1
        return self._execute(number, statement)

    def _execute(self, number: int, statement: pb.Statement) -> pb.StatementReply:
        before = self.instance.last_position
        reply = self.instance.execute(
            number,
            statement.term,
            statement.ledger_id,
            statement.payload,
            statement.write,
            _BOUNDARIES[statement.boundary],
        )
        self.counters.statements += 1
        if self.instance.last_position != before:
            self._announce()
        return pb.StatementReply(
            id=statement.id,
            status=_STATUSES[reply.status],
            position=encode_position(reply.position),
            result=reply.result,
            detail=reply.detail,
        )

    # Control.

    async def Control(  # noqa: N802
        self, requests: AsyncIterator[pb.ControlRequest], context: grpc.aio.ServicerContext
    ) -> None:
        """Answer control requests, and push a report on each change and every 400 ms."""
        changed = asyncio.Event()
        writing = asyncio.Lock()
        self._changed.add(changed)
        pusher = asyncio.get_running_loop().create_task(self._push(changed, writing, context))
        try:
            async for request in requests:
                reply = self._control(request)
                async with writing:
                    await context.write(reply)
        finally:
            self._changed.discard(changed)
            pusher.cancel()

    async def _push(
        self, changed: asyncio.Event, writing: asyncio.Lock, context: grpc.aio.ServicerContext
    ) -> None:
        while True:
            async with writing:
                await context.write(pb.ControlReply(report=self._report()))
            try:
                await asyncio.wait_for(changed.wait(), REPORT_PERIOD_S)
                await asyncio.sleep(COALESCE_S)
            except TimeoutError:
                pass
            changed.clear()

    def _report(self) -> pb.Report:
        silence = asyncio.get_running_loop().time() - self._heard_primary
        return encode_report(self.instance.report(silence), self.counters.busy)

    def _announce(self) -> None:
        for changed in self._changed:
            changed.set()
        self.faults.log_changed.set()
        self.faults.log_changed = asyncio.Event()

    def _control(self, request: pb.ControlRequest) -> pb.ControlReply:
        reply = pb.ControlReply(id=request.id, granted=True)
        match request.WhichOneof("body"):
            case "seal":
                reply.granted = self.instance.seal(request.seal.term)
            case "promote":
                reply.granted = self.instance.promote(request.promote.term)
            case "follow":
                reply.granted = self._follow(request.follow)
            case "lookup":
                self._look_up(reply, request.lookup.ledger_id, request.lookup.term, False)
            case "tombstone":
                self._look_up(reply, request.tombstone.ledger_id, request.tombstone.term, True)
        if request.WhichOneof("body") != "ping":
            self._announce()
        reply.report.CopyFrom(self._report())
        return reply

    def _look_up(self, reply: pb.ControlReply, ledger_id: str, term: int, bury: bool) -> None:
        state, entry = self.instance.look_up_ledger(ledger_id, term, bury)
        reply.ledger = _LEDGER_STATES[state]
        reply.position.CopyFrom(encode_position(entry.position))
        reply.result = self.instance.ledger_outcome(ledger_id)

    # Replication.

    def _follow(self, order: pb.Follow) -> bool:
        if not self.instance.follow(order.term, order.primary):
            return False
        if self._puller is not None:
            self._puller.cancel()
        self._heard_primary = asyncio.get_running_loop().time()
        self._puller = asyncio.get_running_loop().create_task(self._pull(order.term, order.address))
        return True

    async def _pull(self, term: int, address: str) -> None:
        while self.instance.term == term and self.instance.role is Role.REPLICA:
            try:
                await self._pull_once(term, address)
            except grpc.aio.AioRpcError:
                await asyncio.sleep(POLL_S)

    async def _pull_once(self, term: int, address: str) -> None:
        async with grpc.aio.insecure_channel(address) as channel:
            call = rpc.UpstreamStub(channel).Replicate()
            while self.instance.term == term and self.instance.role is Role.REPLICA:
                await call.write(self._replication_request(term))
                batch = await call.read()
                if batch is grpc.aio.EOF:
                    await asyncio.sleep(POLL_S)
                    return
                if self.faults.lag and batch.entries:
                    await asyncio.sleep(self.faults.lag)
                while self.faults.cut_from_group:
                    await asyncio.sleep(POLL_S)
                self._take_batch(batch)

    def _replication_request(self, term: int) -> pb.ReplicationRequest:
        lineage = self.instance.term_history
        return pb.ReplicationRequest(
            term=term,
            last=encode_position(lineage.last),
            starts=[
                pb.TermStart(term=start.term, first_index=start.first_index)
                for start in lineage.starts
            ],
        )

    def _take_batch(self, batch: pb.ReplicationBatch) -> None:
        self._heard_primary = asyncio.get_running_loop().time()
        before = self.instance.last_position
        entries = [
            Entry(
                decode_position(entry.position),
                entry.ledger_id,
                entry.tombstone,
                tuple(entry.payloads),
                entry.transaction,
            )
            for entry in batch.entries
        ]
        self.instance.append_entries(batch.term, batch.keep_through, entries)
        if self.instance.last_position != before:
            self._announce()

    async def Replicate(  # noqa: N802
        self,
        requests: AsyncIterator[pb.ReplicationRequest],
        context: grpc.aio.ServicerContext,
    ) -> AsyncIterator[pb.ReplicationBatch]:
        """Serve one replica."""
        async for request in requests:
            if self.instance.role is not Role.PRIMARY or self.instance.term != request.term:
                return
            while self.faults.cut_from_group:
                await asyncio.sleep(POLL_S)
            starts = tuple(TermStart(start.term, start.first_index) for start in request.starts)
            keep = self.instance.find_match_index(
                TermHistory(decode_position(request.last), starts)
            )
            if keep == len(self.instance.log) == request.last.index:
                await self._await_news()
            yield self._batch(keep)

    async def _await_news(self) -> None:
        try:
            await asyncio.wait_for(self.faults.log_changed.wait(), POLL_S)
        except TimeoutError:
            pass

    def _batch(self, keep: int) -> pb.ReplicationBatch:
        return pb.ReplicationBatch(
            term=self.instance.term,
            keep_through=keep,
            entries=[
                pb.LogEntry(
                    position=encode_position(entry.position),
                    ledger_id=entry.ledger_id,
                    tombstone=entry.tombstone,
                    payloads=entry.payloads,
                    transaction=entry.transaction,
                )
                for entry in self.instance.log[keep : keep + BATCH_ENTRIES]
            ],
        )


async def run_upstream(options: UpstreamOptions) -> None:
    """Serve one instance until the process ends."""
    service = UpstreamServer(options)
    server = grpc.aio.server(options=SERVER_OPTIONS)
    rpc.add_UpstreamServicer_to_server(service, server)
    server.add_insecure_port(options.listen)
    await server.start()
    host, port = options.admin.rsplit(":", 1)
    get_reactor().listenTCP(int(port), Site(AdminResource(service)), interface=host)
    await server.wait_for_termination()
