"""The owner's side: runs other proxies' statements on its own connections to an instance.

It decides nothing about them: the proxy that asks holds the session, checks its lease and judges
the answer. What waits here for a connection has not been sent, and is answered so in time.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.defer import TimeoutError as TwistedTimeoutError

from orioleplank.decision.session import ExecutableStatement, Reply, TransactionState
from orioleplank.gateway._channels import Channel
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._frames import (
    Answered,
    BeginAsked,
    CommitAsked,
    InstanceRequest,
    LinkClosed,
    NotSent,
    ReportAsked,
    ResponseFrame,
    RollBackAsked,
    RunAsked,
    StepDownAsked,
    Unanswered,
    decode_frame,
    decode_position,
    decode_statement,
    encode_frame,
    encode_reply,
    encode_report,
)
from orioleplank.gateway._instance_executor import (
    NO_REPLY_ERRORS,
    NOT_SENT_ERRORS,
    InstanceExecutor,
    PreparationError,
)
from orioleplank.gateway._instance_prober import InstanceProber
from orioleplank.gateway._interfaces import InstanceUnreachableError
from orioleplank.gateway._pool import InstancePool

# Part of the time left that is kept for the way back of "not sent", in seconds: one way between
# regions, twice.
WAY_BACK_S = 0.05
# What ends a wait for a connection.
NO_TIME = (TwistedTimeoutError, CancelledError)
# Time for an instance to roll back, in seconds.
ROLL_BACK_S = 1.0


@dataclass(slots=True, eq=False)
class _Use:
    """One link's use of an instance."""

    # Number by which the pool knows it.
    number: int
    # Where its connection comes from; None while it has none.
    pool: InstancePool | None = None
    # Its connection; None while it has none.
    connection: PooledConnection | None = None
    # True between the beginning and the end of a transaction.
    in_transaction: bool = False
    # Values of its connection when the transaction began; others may be undone by a rollback.
    values: Mapping[str, str] = field(default_factory=dict)
    # What it waits for.
    waiting: Deferred[Any] | None = None
    # True once the other proxy has given it up.
    is_closed: bool = False


class ForwardingServer:
    """Builds a listener for each channel of another proxy."""

    def __init__(
        self,
        beliefs: ClusterState,
        exchange: InstanceExecutor,
        inspection: InstanceProber,
        journal: EventLog,
    ) -> None:
        self.cluster_state = beliefs
        self.exchange = exchange
        self.inspection = inspection
        self.journal = journal
        self._numbers = count(1)
        self._channels: set[CarriedChannel] = set()

    @property
    def in_flight(self) -> int:
        """Statements and transactions of other proxies that are not finished."""
        return sum(channel.in_use for channel in self._channels)

    def accept(self, channel: Channel) -> CarriedChannel:
        """Take a channel of another proxy."""
        carried = CarriedChannel(self, channel)
        self._channels.add(carried)
        return carried

    def forget(self, carried: CarriedChannel) -> None:
        """Forget a channel that has ended."""
        self._channels.discard(carried)

    def next_number(self) -> int:
        """Return a number of a use; sessions of this proxy have the positive ones."""
        return -next(self._numbers)


class CarriedChannel:
    """Serves one other proxy."""

    def __init__(self, carrier: ForwardingServer, channel: Channel) -> None:
        self._carrier = carrier
        self._exchange = carrier.exchange
        self._channel = channel
        self._uses: dict[int, _Use] = {}

    # The channel's side.

    def handle_frame(self, frame: bytes) -> None:
        """Take a question; a frame that cannot be read ends the channel."""
        asked = decode_frame(frame)
        match asked:
            case RunAsked() | BeginAsked():
                self._start(self._work(asked))
            case CommitAsked() | RollBackAsked():
                self._start(self._finish(asked))
            case LinkClosed(link):
                self._close(link)
            case ReportAsked():
                self._start(self._report(asked))
            case StepDownAsked():
                self._start(self._step_down(asked))
            case _:
                self._channel.close()

    @property
    def in_use(self) -> int:
        """Statements and transactions that are not finished."""
        return len(self._uses)

    def handle_channel_closed(self) -> None:
        """Roll back whatever the other proxy has not finished."""
        self._carrier.forget(self)
        for link in list(self._uses):
            self._close(link)

    def _close(self, link: int) -> None:
        use = self._uses.pop(link, None)
        if use is None:
            return
        use.is_closed = True
        if use.waiting is not None:
            use.waiting.cancel()
        if use.pool is not None and use.connection is not None:
            use.pool.discard(use.connection)

    def _start(self, work: Any) -> None:
        Deferred.fromCoroutine(work).addErrback(self._fail)

    def _fail(self, failure: Any) -> None:
        self._carrier.journal.log_event(
            EventType.ERROR, step="carry", detail=failure.getTraceback()
        )
        self._channel.close()

    def _send(self, told: ResponseFrame) -> None:
        self._channel.send(encode_frame(told))

    # Statements.

    async def _work(self, asked: RunAsked | BeginAsked) -> None:
        use = self._uses.get(asked.link_id)
        if isinstance(asked, RunAsked) and asked.in_transaction and use is None:
            self._send(NotSent(asked.correlation_id, "its transaction is gone", False))
            return
        if use is None:
            use = _Use(self._carrier.next_number())
            self._uses[asked.link_id] = use
        told = await self._serve(use, asked)
        if not use.in_transaction:
            self._uses.pop(asked.link_id, None)
        if not use.is_closed:
            self._send(told)

    async def _serve(self, use: _Use, asked: RunAsked | BeginAsked) -> ResponseFrame:
        statement = decode_statement(asked) if isinstance(asked, RunAsked) else None
        until = self._exchange.cluster_state.now() + asked.timeout
        refusal = await self._get_ready(use, asked, statement, until)
        if refusal is not None:
            return refusal
        pool, connection = use.pool, use.connection
        assert pool is not None and connection is not None
        after = decode_position(asked.min_position)
        if isinstance(asked, BeginAsked):
            use.values = connection.state.values
            answer = connection.link.begin(asked.read_only, after)
        else:
            assert statement is not None
            name = self._exchange.prepared_name(connection, statement)
            answer = connection.link.run(asked.request_id, statement, name, after)
        seconds = until - self._exchange.cluster_state.now()
        return await self._take_answer(
            use, asked.correlation_id, answer, seconds, statement is not None
        )

    async def _get_ready(
        self, use: _Use, asked: InstanceRequest, statement: ExecutableStatement | None, until: float
    ) -> NotSent | None:
        """Give a use a connection that fits the statement; return why it has none.

        `until` is when its time is over, in seconds of the steady clock.
        """
        seconds = asked.timeout - WAY_BACK_S
        if use.connection is None:
            pool = self._carrier.cluster_state.direct_pool(asked.instance)
            if pool is None:
                return NotSent(asked.correlation_id, "the instance is not known here", True)
            waiting = pool.acquire(asked.values, use.number, asked.priority, seconds)
            use.waiting = waiting
            try:
                use.connection = await self._exchange.with_timeout(waiting, seconds)
                use.pool = pool
            except NOT_SENT_ERRORS as error:
                is_unreachable = isinstance(error, InstanceUnreachableError)
                why = _explain(error, "all are in use")
                retry_after = getattr(error, "retry_after", None)
                return NotSent(asked.correlation_id, why, is_unreachable, retry_after)
            finally:
                use.waiting = None
        assert use.pool is not None and use.connection is not None
        # The wait for the connection has taken some of the time.
        seconds = until - WAY_BACK_S - self._exchange.cluster_state.now()
        try:
            await self._exchange.prepare_connection(
                use.pool, use.connection, asked.values, statement, asked.priority, seconds
            )
        except (*NOT_SENT_ERRORS, PreparationError) as error:
            self._drop(use)
            return NotSent(
                asked.correlation_id, _explain(error, "its preparation took too long"), False
            )
        return None

    async def _take_answer(
        self, use: _Use, number: int, answer: Deferred[Reply], seconds: float, tells_load: bool
    ) -> ResponseFrame:
        assert use.pool is not None
        try:
            reply = await self._exchange.await_reply(use.pool, answer, seconds, tells_load)
        except NO_REPLY_ERRORS as error:
            self._drop(use)
            return Unanswered(number, _explain(error, "its time is over"))
        self._settle(use, reply)
        return encode_reply(number, reply)

    def _settle(self, use: _Use, reply: Reply) -> None:
        use.in_transaction = reply.state is not TransactionState.IDLE
        if use.in_transaction or use.pool is None or use.connection is None:
            return
        self._exchange.release_after_reply(use.pool, use.connection, reply)
        use.pool = use.connection = None

    def _drop(self, use: _Use) -> None:
        """Close a use's connection, which rolls back whatever is not committed."""
        use.in_transaction = False
        if use.pool is not None and use.connection is not None:
            use.pool.discard(use.connection)
        use.pool = use.connection = None

    async def _finish(self, asked: CommitAsked | RollBackAsked) -> None:
        """Commit or roll back."""
        use = self._uses.get(asked.link_id)
        if use is None or use.connection is None:
            self._send(NotSent(asked.correlation_id, "its transaction is gone", False))
            return
        connection = use.connection
        match asked:
            case CommitAsked(_, _, request, seconds):
                answer = connection.link.commit(request)
            case _:
                answer, seconds = connection.link.roll_back(), ROLL_BACK_S
                if connection.state.values != use.values:
                    connection.state = connection.state.invalidate_values()
        told = await self._take_answer(use, asked.correlation_id, answer, seconds, True)
        if not use.in_transaction:
            self._uses.pop(asked.link_id, None)
        if not use.is_closed:
            self._send(told)

    # The instance's state.

    async def _report(self, asked: ReportAsked) -> None:
        pool = self._carrier.cluster_state.direct_pool(asked.instance)
        report = await self._carrier.inspection.probe(pool) if pool is not None else None
        if report is not None:
            self._send(encode_report(asked.correlation_id, report))
            return
        failing = pool is None or pool.consecutive_failures > 0
        self._send(NotSent(asked.correlation_id, "it gives no report", failing))

    async def _step_down(self, asked: StepDownAsked) -> None:
        pool = self._carrier.cluster_state.direct_pool(asked.instance)
        reached = pool is not None and await self._carrier.inspection.step_down(pool, asked.term)
        if reached:
            self._send(Answered(asked.correlation_id, (), "-", None, TransactionState.IDLE, None))
        else:
            self._send(NotSent(asked.correlation_id, "it is not reached", True))


def _explain(error: Exception, out_of_time: str) -> str:
    """Return why something was not done; time-outs tell nothing by themselves."""
    return out_of_time if isinstance(error, NO_TIME) else str(error)
