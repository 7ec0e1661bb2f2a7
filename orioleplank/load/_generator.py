"""Generates open-loop load: requests are sent at set times, independent of earlier replies."""

from __future__ import annotations

import asyncio
import os
import signal
import uuid
from collections.abc import Callable
from random import Random
from urllib.request import Request, urlopen

import grpc

from orioleplank._protos import orioleplank_caller_pb2 as pb
from orioleplank._protos import orioleplank_upstream_pb2 as upstream
from orioleplank._protos import orioleplank_upstream_pb2_grpc as rpc
from orioleplank.client import Caller, Session, StreamLostError, make_payload, make_query
from orioleplank.load._plan import FaultPlan, KindPlan, LoadPlan
from orioleplank.load._result import LoadResult, Recorder

MS_PER_S = 1000
DIRECT_CONNECTION_COUNT = 20
FINISH_MARGIN_S = 1.0


class LoadGenerator:
    """Runs one load test; `log_progress` receives a line of text each second and for each fault."""

    def __init__(
        self, plan: LoadPlan, log_progress: Callable[[str], None] = lambda text: None
    ) -> None:
        self._plan = plan
        self._log_progress = log_progress
        self._random = Random(plan.seed)
        self._prefix = uuid.uuid4().hex[:12]
        self._recorder = Recorder({kind.name: kind.weight for kind in plan.kinds}, plan.seconds)
        self._started = 0.0
        self._sessions = [Session() for _ in range(plan.callers)]
        self._caller: Caller | None = None
        self._direct_connections: _DirectConnections | None = None

    async def run(self) -> LoadResult:
        """Send all requests, inject the faults and return the result."""
        loop = asyncio.get_running_loop()
        if self._plan.straight:
            self._direct_connections = _DirectConnections(self._plan.targets[0], self._plan.term)
            await self._direct_connections.open()
        else:
            self._caller = Caller(self._plan.targets)
        self._started = loop.time()
        faults = [loop.create_task(self._inject_fault(fault)) for fault in self._plan.faults]
        progress = loop.create_task(self._report_progress())
        await self._send_all()
        progress.cancel()
        await asyncio.gather(*faults)
        await self._close()
        return self._recorder.build_result(self._plan.rate)

    async def _close(self) -> None:
        if self._caller is not None:
            await self._caller.close()
        if self._direct_connections is not None:
            await self._direct_connections.close()

    async def _send_all(self) -> None:
        """Send requests with Poisson arrivals and wait for them.

        Requests that are still in progress after the timeout and a margin are cancelled.
        """
        loop = asyncio.get_running_loop()
        tasks: set[asyncio.Task[None]] = set()
        due, number = 0.0, 0
        kinds, shares = self._plan.kinds, [kind.share for kind in self._plan.kinds]
        while due < self._plan.seconds:
            delay = self._started + due - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            kind = self._random.choices(kinds, shares)[0]
            task = loop.create_task(self._run_request(kind, number, self._started + due))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
            due += self._random.expovariate(self._plan.rate)
        if tasks:
            await asyncio.wait(tasks, timeout=self._plan.timeout + FINISH_MARGIN_S)
        for task in tasks:
            task.cancel()

    async def _run_request(self, kind: KindPlan, number: int, due: float) -> None:
        session = self._sessions[number % len(self._sessions)]
        request = self._build_request(kind, number)
        self._recorder.record_sent(kind.name)
        reason, by_replica = await self._send_request(session, request)
        now = asyncio.get_running_loop().time()
        if not reason and now - due > self._plan.timeout:
            reason = "late"
        if reason:
            self._recorder.record_failure(kind.name, reason)
        else:
            answered_at = now - self._started
            self._recorder.record_answer(kind.name, now - due, answered_at, by_replica, kind.write)

    def _build_request(self, kind: KindPlan, number: int) -> pb.CallerRequest:
        request_id = f"{self._prefix}-{number}"
        arguments = (request_id, f"s{number % self._plan.callers}")[: kind.sql.count("?")]
        request = pb.CallerRequest(
            id=request_id,
            service=self._plan.service,
            kind=kind.name,
            payload=make_payload(make_query(kind.sql, *arguments)),
            write=kind.write,
            timeout_ms=round(self._plan.timeout * MS_PER_S),
        )
        if kind.max_age:
            request.freshness = pb.FRESHNESS_MAX_AGE
            request.max_age_ms = round(kind.max_age * MS_PER_S)
        return request

    async def _send_request(self, session: Session, request: pb.CallerRequest) -> tuple[str, bool]:
        """Return why a request failed, empty on success, and whether a replica answered."""
        if self._direct_connections is not None:
            return await self._direct_connections.run(request), False
        assert self._caller is not None
        try:
            reply = await session.ask(self._caller.stream(), request)
        except StreamLostError:
            return "stream-lost", False
        if reply.WhichOneof("outcome") == "answer":
            return "", reply.answer.by_replica
        return reply.refusal.reason, False

    async def _inject_fault(self, fault: FaultPlan) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, self._started + fault.at - loop.time()))
        if fault.signal:
            os.kill(fault.pid, getattr(signal, f"SIG{fault.signal}"))
            self._log_progress(f"sent {fault.signal} to {fault.pid}")
        if fault.address:
            admin_request = Request(
                f"http://{fault.address}/", data=fault.order.encode(), method="POST"
            )
            await loop.run_in_executor(None, lambda: urlopen(admin_request, timeout=2).close())
            self._log_progress(f"sent {fault.order} to {fault.address}")

    async def _report_progress(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            result = self._recorder.build_result(self._plan.rate)
            sent = sum(kind.sent for kind in result.kinds)
            self._log_progress(f"{sent} sent, {result.answered} answered")


class _DirectConnections:
    """A pool of direct connections to one instance, as a baseline without a proxy."""

    def __init__(self, address: str, term: int) -> None:
        self._channel = grpc.aio.insecure_channel(address)
        self._term = term
        self._idle_calls: asyncio.Queue[grpc.aio.StreamStreamCall] = asyncio.Queue()
        self._last_statement_id = 0

    async def open(self) -> None:
        """Open all connections of the pool."""
        for _ in range(DIRECT_CONNECTION_COUNT):
            call = rpc.UpstreamStub(self._channel).Connect()
            await call.read()
            self._idle_calls.put_nowait(call)

    async def run(self, request: pb.CallerRequest) -> str:
        """Run a request as a statement; return the status name on failure, empty on success."""
        call = await self._idle_calls.get()
        try:
            self._last_statement_id += 1
            statement = upstream.Statement(
                id=self._last_statement_id,
                term=self._term if request.write else 0,
                ledger_id=request.id if request.write else "",
                payload=request.payload,
                write=request.write,
            )
            await call.write(statement)
            reply = await call.read()
        finally:
            self._idle_calls.put_nowait(call)
        is_done = reply.status == upstream.STATEMENT_STATUS_DONE
        return "" if is_done else str(upstream.StatementStatus.Name(reply.status))

    async def close(self) -> None:
        """Close the channel with all its connections."""
        await self._channel.close()
