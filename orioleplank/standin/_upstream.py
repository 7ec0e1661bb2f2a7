"""A stand-in upstream instance as a process: upstream protocol over gRPC, admin over HTTP."""

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

# A report is pushed at least this often.
REPORT_INTERVAL_S = 0.4
# Delay before a report is pushed after a change, so that one report covers several changes.
REPORT_COALESCE_DELAY_S = 0.002
# Pause before replication is retried, and longest wait of a replica for new entries.
REPLICATION_POLL_INTERVAL_S = 0.1
MAX_BATCH_ENTRIES = 500
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
    """Addresses, capacity and timing of a stand-in instance."""

    name: str
    # HOST:PORT for proxies and replicas.
    listen: str
    # HOST:PORT of the admin endpoint.
    admin: str
    # Maximum number of statements that run at the same time.
    slots: int = 5
    # Maximum number of open connections.
    connections: int = 30
    # Time to open a connection, in seconds.
    connect_time: float = 0.012
    # Time for which a statement uses its slot, in seconds.
    service_time: float = 0.002
    # Delay before a replica applies log entries, in seconds.
    lag: float = 0.004


class UpstreamServer(rpc.UpstreamServicer):
    """Serves the upstream protocol for one instance."""

    def __init__(self, options: UpstreamOptions) -> None:
        self.options = options
        self.slots = options.slots
        self.instance = Instance(options.name, uuid.uuid4().hex)
        self.counters = Counters()
        self.faults = Faults(options.lag)
        self._last_connection_id = 0
        self._report_wakeups: set[asyncio.Event] = set()
        self._primary_heard_at = 0.0
        self._replication_task: asyncio.Task[None] | None = None

    # Connections.

    async def Connect(  # noqa: N802
        self, requests: AsyncIterator[pb.Statement], context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.StatementReply]:
        """Serve one database connection; statements run one after another."""
        if self.counters.connections >= self.options.connections:
            self.counters.connections_exceeded += 1
            yield pb.StatementReply(status=pb.STATEMENT_STATUS_NO_CONNECTION)
            return
        self._last_connection_id += 1
        connection_id = self._last_connection_id
        self.counters.connections += 1
        self.counters.most_connections = max(
            self.counters.most_connections, self.counters.connections
        )
        try:
            await asyncio.sleep(self.options.connect_time)
            yield pb.StatementReply(status=pb.STATEMENT_STATUS_DONE)
            async for statement in requests:
                yield await self._run(connection_id, statement)
        finally:
            self.counters.connections -= 1
            self.instance.close_connection(connection_id)

    async def _run(self, connection_id: int, statement: pb.Statement) -> pb.StatementReply:
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
        return self._execute(connection_id, statement)

    def _execute(self, connection_id: int, statement: pb.Statement) -> pb.StatementReply:
        position_before = self.instance.last_position
        reply = self.instance.execute(
            connection_id,
            statement.term,
            statement.ledger_id,
            statement.payload,
            statement.write,
            _BOUNDARIES[statement.boundary],
        )
        self.counters.statements += 1
        if self.instance.last_position != position_before:
            self._notify_change()
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
        """Answer control requests, and push a report on each change and at least every 400 ms."""
        wakeup = asyncio.Event()
        write_lock = asyncio.Lock()
        self._report_wakeups.add(wakeup)
        push_task = asyncio.get_running_loop().create_task(
            self._push_reports(wakeup, write_lock, context)
        )
        try:
            async for request in requests:
                reply = self._handle_control(request)
                async with write_lock:
                    await context.write(reply)
        finally:
            self._report_wakeups.discard(wakeup)
            push_task.cancel()

    async def _push_reports(
        self, wakeup: asyncio.Event, write_lock: asyncio.Lock, context: grpc.aio.ServicerContext
    ) -> None:
        while True:
            async with write_lock:
                await context.write(pb.ControlReply(report=self._report()))
            try:
                await asyncio.wait_for(wakeup.wait(), REPORT_INTERVAL_S)
                await asyncio.sleep(REPORT_COALESCE_DELAY_S)
            except TimeoutError:
                pass
            wakeup.clear()

    def _report(self) -> pb.Report:
        silence = asyncio.get_running_loop().time() - self._primary_heard_at
        return encode_report(self.instance.report(silence), self.counters.busy)

    def _notify_change(self) -> None:
        for wakeup in self._report_wakeups:
            wakeup.set()
        self.faults.log_changed.set()
        self.faults.log_changed = asyncio.Event()

    def _handle_control(self, request: pb.ControlRequest) -> pb.ControlReply:
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
            self._notify_change()
        reply.report.CopyFrom(self._report())
        return reply

    def _look_up(
        self, reply: pb.ControlReply, ledger_id: str, term: int, write_tombstone: bool
    ) -> None:
        state, entry = self.instance.look_up_ledger(ledger_id, term, write_tombstone)
        reply.ledger = _LEDGER_STATES[state]
        reply.position.CopyFrom(encode_position(entry.position))
        reply.result = self.instance.ledger_outcome(ledger_id)

    # Replication.

    def _follow(self, command: pb.Follow) -> bool:
        if not self.instance.follow(command.term, command.primary):
            return False
        if self._replication_task is not None:
            self._replication_task.cancel()
        self._primary_heard_at = asyncio.get_running_loop().time()
        self._replication_task = asyncio.get_running_loop().create_task(
            self._replicate(command.term, command.address)
        )
        return True

    async def _replicate(self, term: int, address: str) -> None:
        while self.instance.term == term and self.instance.role is Role.REPLICA:
            try:
                await self._replicate_over_channel(term, address)
            except grpc.aio.AioRpcError:
                await asyncio.sleep(REPLICATION_POLL_INTERVAL_S)

    async def _replicate_over_channel(self, term: int, address: str) -> None:
        async with grpc.aio.insecure_channel(address) as channel:
            call = rpc.UpstreamStub(channel).Replicate()
            while self.instance.term == term and self.instance.role is Role.REPLICA:
                await call.write(self._replication_request(term))
                batch = await call.read()
                if batch is grpc.aio.EOF:
                    await asyncio.sleep(REPLICATION_POLL_INTERVAL_S)
                    return
                if self.faults.lag and batch.entries:
                    await asyncio.sleep(self.faults.lag)
                while self.faults.cut_from_group:
                    await asyncio.sleep(REPLICATION_POLL_INTERVAL_S)
                self._apply_batch(batch)

    def _replication_request(self, term: int) -> pb.ReplicationRequest:
        history = self.instance.term_history
        return pb.ReplicationRequest(
            term=term,
            last=encode_position(history.last),
            starts=[
                pb.TermStart(term=start.term, first_index=start.first_index)
                for start in history.starts
            ],
        )

    def _apply_batch(self, batch: pb.ReplicationBatch) -> None:
        self._primary_heard_at = asyncio.get_running_loop().time()
        position_before = self.instance.last_position
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
        if self.instance.last_position != position_before:
            self._notify_change()

    async def Replicate(  # noqa: N802
        self,
        requests: AsyncIterator[pb.ReplicationRequest],
        context: grpc.aio.ServicerContext,
    ) -> AsyncIterator[pb.ReplicationBatch]:
        """Send log entries to one replica until this instance is not the primary of its term."""
        async for request in requests:
            if self.instance.role is not Role.PRIMARY or self.instance.term != request.term:
                return
            while self.faults.cut_from_group:
                await asyncio.sleep(REPLICATION_POLL_INTERVAL_S)
            starts = tuple(TermStart(start.term, start.first_index) for start in request.starts)
            keep_through = self.instance.find_match_index(
                TermHistory(decode_position(request.last), starts)
            )
            if keep_through == len(self.instance.log) == request.last.index:
                await self._wait_for_entries()
            yield self._build_batch(keep_through)

    async def _wait_for_entries(self) -> None:
        try:
            await asyncio.wait_for(self.faults.log_changed.wait(), REPLICATION_POLL_INTERVAL_S)
        except TimeoutError:
            pass

    def _build_batch(self, keep: int) -> pb.ReplicationBatch:
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
                for entry in self.instance.log[keep : keep + MAX_BATCH_ENTRIES]
            ],
        )


async def run_upstream(options: UpstreamOptions) -> None:
    """Serve one instance until the process ends."""
    upstream = UpstreamServer(options)
    server = grpc.aio.server(options=SERVER_OPTIONS)
    rpc.add_UpstreamServicer_to_server(upstream, server)
    server.add_insecure_port(options.listen)
    await server.start()
    host, port = options.admin.rsplit(":", 1)
    get_reactor().listenTCP(int(port), Site(AdminResource(upstream)), interface=host)
    await server.wait_for_termination()
