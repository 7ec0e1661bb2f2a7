"""Owner side of forwarding: runs other proxies' statements on this proxy's instance connections.

It makes no decisions about the statements: the requesting proxy holds the session, checks its lease
and evaluates the response. A statement that waits here for a connection has not been sent yet; if
none becomes free, the requesting proxy is informed of that before its own timeout expires.
"""

from __future__ import annotations

from collections.abc import Mapping
from itertools import count
from typing import Any

from msgspec import Struct, field
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.defer import TimeoutError as TwistedTimeoutError

from orioleplank.decision.accounts import ClientAccount
from orioleplank.decision.session import ExecutableStatement, Reply, TransactionState
from orioleplank.gateway._channels import Channel
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._connection_request import ConnectionRequest
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._frames import (
    Answered,
    BeginAsked,
    CommitAsked,
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
    encode_reply,
    encode_report,
    encode_response,
)
from orioleplank.gateway._instance_executor import (
    NO_REPLY_ERRORS,
    NOT_SENT_ERRORS,
    InstanceExecutor,
    PreparationError,
)
from orioleplank.gateway._instance_prober import InstanceProber
from orioleplank.gateway._interfaces import InstanceUnreachableError, RequestOptions
from orioleplank.gateway._owner_loads import encode_load
from orioleplank.gateway._pool import InstancePool

# Part of the timeout that is reserved for returning a "not sent" response, in seconds: twice the
# one-way latency between regions.
RESPONSE_RESERVE_S = 0.05
# Errors that end a wait because of its timeout or a cancellation.
TIMEOUT_ERRORS = (TwistedTimeoutError, CancelledError)
# Timeout of a rollback at an instance, in seconds.
ROLLBACK_TIMEOUT_S = 1.0


class _LinkState(Struct, eq=False):
    """Server-side state of one link: its connection and its transaction."""

    # Session id under which it acquires connections from the pool.
    session_id: int
    # Pool of its connection; None while it has no connection.
    pool: InstancePool | None = None
    connection: PooledConnection | None = None
    # True while a transaction is open.
    in_transaction: bool = False
    # Session values of the connection when the transaction began; a rollback may undo changes made
    # since then.
    values_at_begin: Mapping[str, str] = field(default_factory=dict)
    # The acquisition of a connection that it waits for; None while it does not wait.
    pending_acquisition: Deferred[Any] | None = None
    # True while a request of the link is in progress.
    is_busy: bool = False
    # True once the other proxy has closed the link.
    is_closed: bool = False


class ForwardingServer:
    """Accepts the channels of other proxies, and counts the work that is in progress on them."""

    def __init__(
        self,
        cluster_state: ClusterState,
        executor: InstanceExecutor,
        prober: InstanceProber,
        event_log: EventLog,
    ) -> None:
        self.cluster_state = cluster_state
        self.executor = executor
        self.prober = prober
        self.event_log = event_log
        self._session_numbers = count(1)
        self._channels: set[IncomingChannel] = set()

    @property
    def in_flight(self) -> int:
        """Number of unfinished statements and transactions of other proxies."""
        return sum(channel.in_flight for channel in self._channels)

    def accept(self, channel: Channel) -> IncomingChannel:
        """Accept a channel of another proxy; return the handler of its frames."""
        incoming = IncomingChannel(self, channel)
        self._channels.add(incoming)
        return incoming

    def remove_channel(self, channel: IncomingChannel) -> None:
        """Remove a channel that has closed."""
        self._channels.discard(channel)

    def next_session_id(self) -> int:
        """Return a new negative session id for a link; local sessions have positive ids."""
        return -next(self._session_numbers)


class IncomingChannel:
    """Serves the requests that arrive over the channel of one other proxy."""

    def __init__(self, server: ForwardingServer, channel: Channel) -> None:
        self._server = server
        self._executor = server.executor
        self._channel = channel
        self._link_states: dict[int, _LinkState] = {}

    # Events of the channel.

    def handle_frame(self, frame: bytes) -> None:
        """Handle a request; an invalid frame closes the channel."""
        request = decode_frame(frame)
        match request:
            case RunAsked() | BeginAsked():
                self._spawn(self._run_or_begin(request))
            case CommitAsked() | RollBackAsked():
                self._spawn(self._end_transaction(request))
            case LinkClosed(link_id):
                self._close_link(link_id)
            case ReportAsked():
                self._spawn(self._report(request))
            case StepDownAsked():
                self._spawn(self._step_down(request))
            case _:
                self._channel.close()

    @property
    def in_flight(self) -> int:
        """Number of unfinished statements and transactions on this channel."""
        return len(self._link_states)

    def handle_channel_closed(self) -> None:
        """Roll back all unfinished work of the other proxy."""
        self._server.remove_channel(self)
        for link_id in list(self._link_states):
            self._close_link(link_id)

    def _close_link(self, link_id: int) -> None:
        """End the wait of a link for a connection, and roll back its transaction.

        A request that is in progress at the instance runs to its end first, since its connection
        could not be used again otherwise, and the failure would count as one of the instance.
        """
        link_state = self._link_states.pop(link_id, None)
        if link_state is None:
            return
        link_state.is_closed = True
        if link_state.pending_acquisition is not None:
            link_state.pending_acquisition.cancel()
        if not link_state.is_busy:
            self._spawn(self._finish_closed(link_state))

    def _spawn(self, coroutine: Any) -> None:
        Deferred.fromCoroutine(coroutine).addErrback(self._handle_internal_error)

    def _handle_internal_error(self, failure: Any) -> None:
        self._server.event_log.log_event(
            EventType.ERROR, step="carry", detail=failure.getTraceback()
        )
        self._channel.close()

    def _send(self, response: ResponseFrame) -> None:
        self._channel.send(encode_response(response))

    # Statements.

    async def _run_or_begin(self, request: RunAsked | BeginAsked) -> None:
        link_state = self._link_states.get(request.link_id)
        if isinstance(request, RunAsked) and request.in_transaction and link_state is None:
            self._send(NotSent(request.correlation_id, "its transaction is gone", False))
            return
        if link_state is None and not self._executor.cluster_state.accepts_request(request.timeout):
            self._send(NotSent(request.correlation_id, "the owner is stopping", True))
            return
        if link_state is None:
            link_state = _LinkState(self._server.next_session_id())
            self._link_states[request.link_id] = link_state
        link_state.is_busy = True
        response = await self._serve(link_state, request)
        await self._finish(request.link_id, link_state, response)

    async def _finish(self, link_id: int, link_state: _LinkState, response: ResponseFrame) -> None:
        """Send the response to a request, or end what it left open if the link was closed."""
        link_state.is_busy = False
        if link_state.is_closed:
            await self._finish_closed(link_state)
            return
        if not link_state.in_transaction:
            self._link_states.pop(link_id, None)
        self._send(response)

    async def _finish_closed(self, link_state: _LinkState) -> None:
        """Roll back the transaction of a closed link, which returns its connection to the pool."""
        if link_state.connection is None or not link_state.in_transaction:
            return
        await self._roll_back(link_state, correlation_id=0)
        if link_state.connection is not None:
            self._discard_connection(link_state)

    async def _serve(self, link_state: _LinkState, request: RunAsked | BeginAsked) -> ResponseFrame:
        statement = decode_statement(request) if isinstance(request, RunAsked) else None
        deadline = self._executor.cluster_state.now() + request.timeout
        refusal = await self._prepare_link(link_state, request, statement, deadline)
        if refusal is not None:
            return refusal
        pool, connection = link_state.pool, link_state.connection
        assert pool is not None and connection is not None
        if link_state.is_closed:
            if not link_state.in_transaction:
                pool.release(connection)
                link_state.pool = link_state.connection = None
            return NotSent(request.correlation_id, "its link was closed", False)
        min_position = decode_position(request.min_position)
        if isinstance(request, BeginAsked):
            link_state.values_at_begin = connection.state.values
            pending_reply = connection.link.begin(request.read_only, min_position)
        else:
            assert statement is not None
            name = self._executor.prepared_name(connection, statement)
            pending_reply = connection.link.run(request.request_id, statement, name, min_position)
        timeout = deadline - self._executor.cluster_state.now()
        return await self._await_response(
            link_state, request.correlation_id, pending_reply, timeout, statement is not None
        )

    async def _prepare_link(
        self,
        link_state: _LinkState,
        request: RunAsked | BeginAsked,
        statement: ExecutableStatement | None,
        deadline: float,
    ) -> NotSent | None:
        """Acquire and set up a connection for a link; return None, or why there is none.

        `deadline` is when the request's timeout expires, in seconds of the monotonic clock.
        """
        timeout = request.timeout - RESPONSE_RESERVE_S
        if link_state.connection is None:
            pool = self._server.cluster_state.own_connection_pool(request.instance)
            if pool is None:
                return NotSent(request.correlation_id, "the instance is not known here", True)
            acquisition = pool.acquire(
                ConnectionRequest(
                    timeout,
                    _account_of(request),
                    request.priority,
                    request.values,
                    link_state.session_id,
                    is_transaction=isinstance(request, BeginAsked),
                )
            )
            link_state.pending_acquisition = acquisition
            try:
                link_state.connection = await self._executor.with_timeout(acquisition, timeout)
                link_state.pool = pool
            except NOT_SENT_ERRORS as error:
                is_unreachable = isinstance(error, InstanceUnreachableError)
                reason = _explain(error, "all are in use")
                retry_after = getattr(error, "retry_after", None)
                load = encode_load(pool)
                return NotSent(request.correlation_id, reason, is_unreachable, retry_after, load)
            finally:
                link_state.pending_acquisition = None
        assert link_state.pool is not None and link_state.connection is not None
        # The wait for the connection has used up part of the timeout.
        timeout = deadline - RESPONSE_RESERVE_S - self._executor.cluster_state.now()
        try:
            await self._executor.prepare_connection(
                link_state.pool,
                link_state.connection,
                request.values,
                statement,
                RequestOptions(_account_of(request), request.priority, timeout),
            )
        except (*NOT_SENT_ERRORS, PreparationError) as error:
            self._discard_connection(link_state)
            return NotSent(
                request.correlation_id, _explain(error, "its preparation took too long"), False
            )
        return None

    async def _await_response(
        self,
        link_state: _LinkState,
        correlation_id: int,
        pending_reply: Deferred[Reply],
        timeout: float,
        is_latency_sample: bool,
    ) -> ResponseFrame:
        pool, connection = link_state.pool, link_state.connection
        assert pool is not None and connection is not None
        try:
            reply = await self._executor.await_reply(
                pool, connection, pending_reply, timeout, is_latency_sample
            )
        except NO_REPLY_ERRORS as error:
            self._discard_connection(link_state)
            return Unanswered(
                correlation_id, _explain(error, "its time is over"), encode_load(pool)
            )
        self._update_after_reply(link_state, reply)
        return encode_reply(correlation_id, reply, encode_load(pool))

    def _update_after_reply(self, link_state: _LinkState, reply: Reply) -> None:
        link_state.in_transaction = reply.state is not TransactionState.IDLE
        if link_state.in_transaction or link_state.pool is None or link_state.connection is None:
            return
        self._executor.release_after_reply(link_state.pool, link_state.connection, reply)
        link_state.pool = link_state.connection = None

    def _discard_connection(self, link_state: _LinkState) -> None:
        """Close the connection of a link, which makes the instance roll back uncommitted work."""
        link_state.in_transaction = False
        if link_state.pool is not None and link_state.connection is not None:
            link_state.pool.discard(link_state.connection)
        link_state.pool = link_state.connection = None

    async def _end_transaction(self, request: CommitAsked | RollBackAsked) -> None:
        """Commit or roll back, and send the response."""
        link_state = self._link_states.get(request.link_id)
        if link_state is None or link_state.connection is None:
            self._send(NotSent(request.correlation_id, "its transaction is gone", False))
            return
        link_state.is_busy = True
        match request:
            case CommitAsked(_, correlation_id, request_id, timeout):
                response = await self._await_response(
                    link_state,
                    correlation_id,
                    link_state.connection.link.commit(request_id),
                    timeout,
                    True,
                )
            case _:
                response = await self._roll_back(link_state, request.correlation_id)
        await self._finish(request.link_id, link_state, response)

    async def _roll_back(self, link_state: _LinkState, correlation_id: int) -> ResponseFrame:
        connection = link_state.connection
        assert connection is not None
        pending_reply = connection.link.roll_back()
        if connection.state.values != link_state.values_at_begin:
            connection.state = connection.state.invalidate_values()
        return await self._await_response(
            link_state, correlation_id, pending_reply, ROLLBACK_TIMEOUT_S, True
        )

    # Reports and demotion of an instance.

    async def _report(self, request: ReportAsked) -> None:
        pool = self._server.cluster_state.own_connection_pool(request.instance)
        report = await self._server.prober.probe(pool) if pool is not None else None
        if report is not None:
            self._send(encode_report(request.correlation_id, report))
            return
        is_failing = pool is None or pool.consecutive_failures > 0
        self._send(NotSent(request.correlation_id, "it gives no report", is_failing))

    async def _step_down(self, request: StepDownAsked) -> None:
        pool = self._server.cluster_state.own_connection_pool(request.instance)
        stepped_down = pool is not None and await self._server.prober.step_down(pool, request.term)
        if stepped_down:
            self._send(Answered(request.correlation_id, (), "-", None, TransactionState.IDLE, None))
        else:
            self._send(NotSent(request.correlation_id, "it is not reached", True))


def _account_of(request: RunAsked | BeginAsked) -> ClientAccount:
    return ClientAccount(request.account, request.account_priority)


def _explain(error: Exception, timeout_reason: str) -> str:
    """Return the text of an error, or `timeout_reason` for a timeout, which has no useful text."""
    return timeout_reason if isinstance(error, TIMEOUT_ERRORS) else str(error)
