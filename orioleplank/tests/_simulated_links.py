"""Connections to the stand-ins of instances: what a session there may ask, and how it answers."""

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
from orioleplank.gateway import InstanceRefusedError, InstanceUnreachableError
from orioleplank.tests._simulated_instances import (
    ExecutionRecord,
    SimulatedGroup,
    SimulatedInstance,
)
from orioleplank.tests._simulator import Node, Simulator

WORK_S = 0.005
# After this long without a word a connection to a silent instance fails, in seconds.
SILENCE_S = 3.0


@dataclass(slots=True)
class _Work:
    """A question that waits at an instance."""

    act: Callable[[], Reply | InstanceReport | Exception]
    result: Deferred[Any]
    seconds: float
    # True when losing its answer matters.
    is_change: bool = False


class SimulatedLink:
    """One connection; implements the gateway's `InstanceLink`."""

    def __init__(
        self,
        group: SimulatedGroup,
        node: Node,
        member: SimulatedInstance,
        by_way_of: Node | None = None,
    ) -> None:
        self._by_way_of = by_way_of
        self._group = group
        self._fabric = group.simulator
        self._node = node
        self._member = member
        self._member_run = member.generation
        self._node_run = node.generation
        self._is_open = True
        self._queue: deque[_Work] = deque()
        self._pending: list[Deferred[Any]] = []
        self._is_working = False
        self._values: dict[str, str] = {}
        self._prepared: dict[str, PreparedStatement] = {}
        self._state = TransactionState.IDLE
        self._is_read_only = False
        self._writes: dict[str, str] = {}

    # The gateway's side.

    @property
    def is_open(self) -> bool:
        """Tell whether the connection counts at the instance."""
        return self._is_open

    @property
    def is_direct(self) -> bool:
        """True: its opening has shown that the instance lives."""
        return True

    def set_next_request_options(self, priority: int, seconds: float) -> None:
        """Nothing to do: questions are taken in their order."""

    def prepare(self, step: ConnectionSetupStep) -> Deferred[Reply]:
        """Change values or prepared names."""
        return self._ask(lambda: self._prepare(step), 0.0)

    def begin(self, read_only: bool, min_position: Position | None) -> Deferred[Reply]:
        """Begin a transaction."""
        return self._ask(lambda: self._begin(read_only, min_position), 0.0)

    def run(
        self,
        request_id: str,
        statement: ExecutableStatement,
        prepared_name: str,
        min_position: Position | None,
    ) -> Deferred[Reply]:
        """Run a statement."""
        is_change = self._state is TransactionState.IDLE and not isinstance(statement, Read)
        return self._ask(
            lambda: self._run(request_id, statement, prepared_name, min_position), WORK_S, is_change
        )

    def commit(self, request_id: str) -> Deferred[Reply]:
        """Commit."""
        return self._ask(lambda: self._commit(request_id), WORK_S, True)

    def roll_back(self) -> Deferred[Reply]:
        """Roll back."""
        return self._ask(self._roll_back, 0.0)

    def fetch_report(self) -> Deferred[InstanceReport]:
        """Tell the instance's state."""
        return self._ask(self._report, 0.0)

    def step_down(self, term: int) -> Deferred[Reply]:
        """Make a primary of a lower term a replica."""
        return self._ask(lambda: self._step_down(term), 0.0)

    def close(self) -> None:
        """End the connection."""
        self._is_open = False
        self._break()

    # The instance's side.

    def _prepare(self, step: ConnectionSetupStep) -> Reply:
        match step:
            case ResetConnection():
                self._values.clear()
                self._prepared.clear()
            case SetConnectionValue(name, value):
                self._values[name] = value
            case PrepareOnConnection(name, shape):
                self._prepared[name] = shape
        return self._reply()

    def _begin(self, read_only: bool, after: Position | None) -> Reply:
        if after is not None and self._member.position < after:
            return self._fail(FailureCode.LAGGING)
        if not read_only and self._member.role is not DbRole.PRIMARY:
            return self._fail(FailureCode.READ_ONLY)
        self._state, self._is_read_only, self._writes = TransactionState.OPEN, read_only, {}
        return self._reply()

    def _run(
        self,
        request: str,
        statement: ExecutableStatement,
        prepared_name: str,
        after: Position | None,
    ) -> Reply:
        shape = None
        if isinstance(statement, ExecutePrepared):
            shape = self._prepared.get(prepared_name)
            if shape is None:
                return self._fail(FailureCode.UNKNOWN_NAME)
        refusal = self._find_refusal(statement, shape, after)
        if refusal is not None:
            return self._fail(refusal)
        member = self._member
        self._group.executions.append(
            ExecutionRecord(
                self._fabric.now,
                member.name,
                request,
                member.position,
                dict(self._values),
                shape,
            )
        )
        self._group.on_execute(member, request, dict(self._values))
        if member.is_failing:
            return self._fail(FailureCode.EXECUTION_FAILED)
        item, _, data = statement.arguments.partition(" ")
        if not self._writes_data(statement, shape):
            return self._reply(
                (self._writes.get(item) or member.read_item(item),), f"sig-{request}"
            )
        if self._state is TransactionState.OPEN:
            self._writes[item] = data
        else:
            self._group.commit(member, {item: data})
        return self._reply((), f"sig-{request}")

    def _find_refusal(
        self,
        statement: ExecutableStatement,
        shape: PreparedStatement | None,
        after: Position | None,
    ) -> FailureCode | None:
        if self._member.is_full:
            return FailureCode.BUSY
        if after is not None and self._member.position < after:
            return FailureCode.LAGGING
        leads = self._member.role is DbRole.PRIMARY
        if self._writes_data(statement, shape) and (not leads or self._is_read_only):
            return FailureCode.READ_ONLY
        if self._state is TransactionState.OPEN and not self._is_read_only and not leads:
            return FailureCode.READ_ONLY
        return None

    def _writes_data(self, statement: ExecutableStatement, shape: PreparedStatement | None) -> bool:
        if shape is not None:
            return shape.mode is AccessMode.WRITE
        return isinstance(statement, Write)

    def _commit(self, request: str) -> Reply:
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
                self._fabric.now, member.name, request, member.position, dict(self._values), None
            )
        )
        return self._reply((), f"sig-{request}")

    def _roll_back(self) -> Reply:
        self._end_transaction()
        return self._reply()

    def _end_transaction(self) -> None:
        self._state, self._is_read_only, self._writes = TransactionState.IDLE, False, {}

    def _report(self) -> InstanceReport | Exception:
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

    # The way there and back.

    def _ask(
        self,
        act: Callable[[], Reply | InstanceReport | Exception],
        seconds: float,
        is_change: bool = False,
    ) -> Deferred[Any]:
        result: Deferred[Any] = Deferred()
        if not self._is_open:
            result.errback(InstanceUnreachableError("ask", self._member.name, "closed"))
            return result
        self._pending.append(result)
        work = _Work(act, result, seconds, is_change)

        def arrive() -> None:
            if self._member.generation == self._member_run:
                self._queue.append(work)
                self._work()

        deliver_via(self._fabric, self._node, self._by_way_of, self._member, arrive)
        return result

    def _work(self) -> None:
        if self._is_working or not self._queue:
            return
        self._is_working = True
        work, run = self._queue.popleft(), self._member.generation

        def act() -> None:
            self._is_working = False
            if not self._member.alive or self._member.generation != run or not self._is_open:
                return
            answer = work.act()
            if not (work.is_change and self._member.loses_answers):
                self._answer(work.result, answer)
            self._work()

        self._fabric.call_later(work.seconds, act)

    def _answer(self, result: Deferred[Any], answer: Any) -> None:
        def arrive() -> None:
            if result in self._pending:
                self._pending.remove(result)
            if result.called or self._node.generation != self._node_run:
                return
            if isinstance(answer, Exception):
                result.errback(answer)
            else:
                result.callback(answer)

        deliver_via(self._fabric, self._member, self._by_way_of, self._node, arrive, is_reply=True)

    def _break(self) -> None:
        pending, self._pending = self._pending, []
        error = InstanceUnreachableError("ask", self._member.name, "the connection broke")
        for result in pending:
            if not result.called:
                result.errback(error)

    def break_connection(self) -> None:
        """Tell the proxy's end that the connection broke."""
        if self._is_open:
            self._is_open = False
            self._fabric.call_on_node(self._node, self._break)


def deliver_via(
    fabric: Simulator,
    source: Node,
    by_way_of: Node | None,
    target: Node,
    call: Callable[[], None],
    is_reply: bool = False,
) -> None:
    """Deliver a message, perhaps through a tunnel of another node."""
    if by_way_of is None:
        fabric.deliver(source.name, target.name, call, is_reply=is_reply)
        return
    middle = by_way_of

    def pass_on() -> None:
        fabric.deliver(middle.name, target.name, call, is_reply=is_reply)

    fabric.deliver(source.name, middle.name, pass_on, is_reply=is_reply)
