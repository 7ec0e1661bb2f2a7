"""Connections to simulated instances: the requests of a session and their responses."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from orioleplank.decision import Position
from orioleplank.decision.failover import InstanceReport
from orioleplank.decision.instances import DbRole
from orioleplank.decision.session import (
    AccessMode,
    ConnectionSetupStep,
    ExecutableStatement,
    ExecutePrepared,
    Failure,
    FailureCode,
    PreparedStatement,
    PrepareOnConnection,
    Read,
    Reply,
    ResetConnection,
    SetConnectionValue,
    TransactionState,
    Write,
)
from orioleplank.gateway import (
    InstanceRefusedError,
    InstanceUnreachableError,
    RequestOptions,
)
from orioleplank.tests._relayed_delivery import deliver_via
from orioleplank.tests._simulated_instances import (
    CommitEntry,
    ExecutionRecord,
    SimulatedGroup,
    SimulatedInstance,
)
from orioleplank.tests._simulator import Node

EXECUTION_S = 0.005
# Interval of the checks whether replicas have received a commit.
CONFIRMATION_INTERVAL_S = 0.002
# A connection to an unresponsive instance fails after this time without a response.
SILENCE_TIMEOUT_S = 3.0


@dataclass(slots=True)
class _QueuedRequest:
    """A request that waits at an instance."""

    execute: Callable[[], Reply | InstanceReport | Exception]
    result: Deferred[Any]
    seconds: float
    # True for a write or commit: its response is lost while the instance loses responses.
    is_change: bool = False


class SimulatedLink:
    """One connection; implements the gateway's `InstanceLink`."""

    def __init__(
        self,
        group: SimulatedGroup,
        node: Node,
        member: SimulatedInstance,
        relay: Node | None = None,
        account: str = "",
    ) -> None:
        self._account = account
        self._relay = relay
        self._group = group
        self._simulator = group.simulator
        self._node = node
        self._member = member
        self._member_generation = member.generation
        self._node_generation = node.generation
        self._is_open = True
        self._queue: deque[_QueuedRequest] = deque()
        self._pending: list[Deferred[Any]] = []
        self._is_processing = False
        self._values: dict[str, str] = {}
        self._prepared: dict[str, PreparedStatement] = {}
        self._state = TransactionState.IDLE
        self._is_read_only = False
        self._writes: dict[str, str] = {}

    # Calls of the gateway.

    @property
    def is_open(self) -> bool:
        """Return whether the connection is open, and so occupies one of the instance's."""
        return self._is_open

    @property
    def has_replied_on_opening(self) -> bool:
        """Return True: the handshake has shown that the instance itself responds."""
        return True

    @property
    def account(self) -> str:
        """Return the name of the account under which the connection was opened."""
        return self._account

    def set_next_request_options(self, options: RequestOptions) -> None:
        """Do nothing: an instance processes requests in the order of their arrival."""

    def prepare(self, step: ConnectionSetupStep) -> Deferred[Reply]:
        """Set a session value or a prepared statement, or reset both."""
        return self._send_request(lambda: self._prepare(step), 0.0)

    def begin(self, read_only: bool, min_position: Position | None) -> Deferred[Reply]:
        """Begin a transaction."""
        return self._send_request(lambda: self._begin(read_only, min_position), 0.0)

    def run(
        self,
        request_id: str,
        statement: ExecutableStatement,
        prepared_name: str,
        min_position: Position | None,
    ) -> Deferred[Reply]:
        """Run a statement."""
        is_change = self._state is TransactionState.IDLE and not isinstance(statement, Read)
        return self._send_request(
            lambda: self._execute(request_id, statement, prepared_name, min_position),
            EXECUTION_S,
            is_change,
        )

    def commit(self, request_id: str) -> Deferred[Reply]:
        """Commit the open transaction."""
        return self._send_request(lambda: self._commit(request_id), EXECUTION_S, True)

    def roll_back(self) -> Deferred[Reply]:
        """Roll back the open transaction."""
        return self._send_request(self._roll_back, 0.0)

    def fetch_report(self) -> Deferred[InstanceReport]:
        """Return the instance's role, term and position."""
        return self._send_request(self._build_report, 0.0)

    def step_down(self, term: int) -> Deferred[Reply]:
        """Make the instance a replica if it is the primary of a term below `term`."""
        return self._send_request(lambda: self._step_down(term), 0.0)

    def close(self) -> None:
        """Close the connection; pending requests fail with InstanceUnreachableError."""
        self._is_open = False
        self._fail_pending()

    # Processing at the instance.

    def _prepare(self, step: ConnectionSetupStep) -> Reply:
        match step:
            case ResetConnection():
                self._values.clear()
                self._prepared.clear()
            case SetConnectionValue(name, value):
                self._values[name] = value
            case PrepareOnConnection(name, prepared_statement):
                self._prepared[name] = prepared_statement
        return self._reply()

    def _begin(self, read_only: bool, min_position: Position | None) -> Reply:
        if min_position is not None and self._member.position < min_position:
            return self._fail(FailureCode.LAGGING)
        if not read_only and self._member.role is not DbRole.PRIMARY:
            return self._fail(FailureCode.READ_ONLY)
        self._state, self._is_read_only, self._writes = TransactionState.OPEN, read_only, {}
        return self._reply()

    def _execute(
        self,
        request_id: str,
        statement: ExecutableStatement,
        prepared_name: str,
        min_position: Position | None,
    ) -> Reply:
        if self._member.resets_work:
            self._simulator.call_later(0.0, self.break_connection)
            return self._fail(FailureCode.EXECUTION_FAILED)
        prepared_statement = None
        if isinstance(statement, ExecutePrepared):
            prepared_statement = self._prepared.get(prepared_name)
            if prepared_statement is None:
                return self._fail(FailureCode.UNKNOWN_NAME)
        if isinstance(statement, Read) and self._member.refuses_reads_for:
            return self._refuse_read()
        refusal = self._find_refusal(statement, prepared_statement, min_position)
        if refusal is not None:
            return self._fail(refusal)
        member = self._member
        self._group.executions.append(
            ExecutionRecord(
                self._simulator.now,
                member.name,
                request_id,
                member.position,
                dict(self._values),
                prepared_statement,
                self._account,
            )
        )
        self._group.on_execute(member, request_id, dict(self._values), self._account)
        if member.is_failing:
            return self._fail(FailureCode.EXECUTION_FAILED)
        item, _, value = statement.arguments.partition(" ")
        if not self._writes_data(statement, prepared_statement):
            return self._reply(
                (self._writes.get(item) or member.read_item(item),), f"sig-{request_id}"
            )
        if self._state is TransactionState.OPEN:
            self._writes[item] = value
        else:
            self._group.commit(member, {item: value})
        return self._reply((), f"sig-{request_id}")

    def _refuse_read(self) -> Reply:
        """Answer as a connection owner does whose queue is full."""
        failure = Failure(FailureCode.BUSY, "too many wait", self._member.refuses_reads_for)
        return Reply((), "-", failure, self._state, self._member.position)

    def _find_refusal(
        self,
        statement: ExecutableStatement,
        prepared_statement: PreparedStatement | None,
        min_position: Position | None,
    ) -> FailureCode | None:
        if self._member.is_full:
            return FailureCode.BUSY
        if min_position is not None and self._member.position < min_position:
            return FailureCode.LAGGING
        is_primary = self._member.role is DbRole.PRIMARY
        if self._writes_data(statement, prepared_statement) and (
            not is_primary or self._is_read_only
        ):
            return FailureCode.READ_ONLY
        if self._state is TransactionState.OPEN and not self._is_read_only and not is_primary:
            return FailureCode.READ_ONLY
        return None

    def _writes_data(
        self, statement: ExecutableStatement, prepared_statement: PreparedStatement | None
    ) -> bool:
        if prepared_statement is not None:
            return prepared_statement.mode is AccessMode.WRITE
        return isinstance(statement, Write)

    def _commit(self, request_id: str) -> Reply:
        member = self._member
        if member.is_full:
            return self._fail(FailureCode.BUSY, keeps_state=True)
        if self._writes and member.role is not DbRole.PRIMARY:
            return self._fail(FailureCode.READ_ONLY)
        if self._writes:
            self._group.commit(member, self._writes)
        self._end_transaction()
        self._group.executions.append(
            ExecutionRecord(
                self._simulator.now,
                member.name,
                request_id,
                member.position,
                dict(self._values),
                None,
                self._account,
            )
        )
        return self._reply((), f"sig-{request_id}")

    def _roll_back(self) -> Reply:
        self._end_transaction()
        return self._reply()

    def _end_transaction(self) -> None:
        self._state, self._is_read_only, self._writes = TransactionState.IDLE, False, {}

    def _build_report(self) -> InstanceReport | Exception:
        member = self._member
        if member.is_full:
            return InstanceRefusedError("report", member.name, "busy")
        return InstanceReport(member.name, member.role, member.term, member.position)

    def _step_down(self, term: int) -> Reply:
        member = self._member
        if member.role is DbRole.PRIMARY and member.term < term:
            member.role = DbRole.REPLICA
            self._group.catch_up(member.name)
            self._group.publish(member.name)
        return self._reply()

    def _reply(self, rows: tuple[str, ...] = (), signature: str = "-") -> Reply:
        return Reply(rows, signature, None, self._state, self._member.position)

    def _fail(self, code: FailureCode, keeps_state: bool = False) -> Reply:
        if self._state is TransactionState.OPEN and not keeps_state:
            self._state = TransactionState.FAILED
        failure = Failure(code, self._member.name)
        return Reply((), "-", failure, self._state, self._member.position)

    # Delivery of requests and responses.

    def _send_request(
        self,
        execute: Callable[[], Reply | InstanceReport | Exception],
        seconds: float,
        is_change: bool = False,
    ) -> Deferred[Any]:
        result: Deferred[Any] = Deferred()
        if not self._is_open:
            result.errback(InstanceUnreachableError("ask", self._member.name, "closed"))
            return result
        self._pending.append(result)
        queued = _QueuedRequest(execute, result, seconds, is_change)

        def arrive() -> None:
            if self._member.generation == self._member_generation:
                self._queue.append(queued)
                self._process_next()

        deliver_via(self._simulator, self._node, self._relay, self._member, arrive)
        return result

    def _process_next(self) -> None:
        if self._is_processing or not self._queue:
            return
        self._is_processing = True
        queued, generation = self._queue.popleft(), self._member.generation

        def execute() -> None:
            self._is_processing = False
            if not self._member.alive or self._member.generation != generation or not self._is_open:
                return
            log_length = len(self._member.log)
            response = queued.execute()
            if len(self._member.log) > log_length:
                self._confirm(queued, response, self._member.log[-1], generation)
            else:
                self._finish(queued, response)

        self._simulator.call_later(queued.seconds * self._member.slowness, execute)

    def _confirm(
        self, queued: _QueuedRequest, response: Any, entry: CommitEntry, generation: int
    ) -> None:
        """Finish a commit once enough replicas have received it; until then nothing else runs."""
        self._is_processing = True
        member = self._member
        if not member.alive or member.generation != generation or not self._is_open:
            return
        if self._group.is_confirmed(member, entry):
            self._is_processing = False
            self._finish(queued, response)
            return
        self._simulator.call_later(
            CONFIRMATION_INTERVAL_S, lambda: self._confirm(queued, response, entry, generation)
        )

    def _finish(self, queued: _QueuedRequest, response: Any) -> None:
        if not (queued.is_change and self._member.loses_answers):
            self._send_response(queued.result, response)
        self._process_next()

    def _send_response(self, result: Deferred[Any], response: Any) -> None:
        def arrive() -> None:
            if result in self._pending:
                self._pending.remove(result)
            if result.called or self._node.generation != self._node_generation:
                return
            if isinstance(response, Exception):
                result.errback(response)
            else:
                result.callback(response)

        deliver_via(self._simulator, self._member, self._relay, self._node, arrive, is_reply=True)

    def _fail_pending(self) -> None:
        pending, self._pending = self._pending, []
        error = InstanceUnreachableError("ask", self._member.name, "the connection broke")
        for result in pending:
            if not result.called:
                result.errback(error)

    def break_connection(self) -> None:
        """Break the connection; pending requests fail with InstanceUnreachableError."""
        if self._is_open:
            self._is_open = False
            self._simulator.call_on_node(self._node, self._fail_pending)
