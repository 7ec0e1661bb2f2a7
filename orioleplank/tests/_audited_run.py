"""Callers that work without a pause, and an audit of every answer against what instances ran."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any, Generic, Protocol, TypeVar

from orioleplank.decision.instances import DbRole
from orioleplank.decision.session import (
    Begin,
    Commit,
    FailureCode,
    Read,
    Reply,
    Rollback,
    SetValue,
    Statement,
    TransactionState,
    Write,
)
from orioleplank.tests._gateway_cluster import CATALOGUE, JOBS, QUOTES, ROUTES
from orioleplank.tests._simulated_instances import SimulatedGroup, SimulatedInstance

# Codes after which nothing of a request may be kept.
PROMISES = frozenset(
    {
        FailureCode.BUSY,
        FailureCode.ABORTED,
        FailureCode.LAGGING,
        FailureCode.READ_ONLY,
        FailureCode.WRONG_INSTANCE,
        FailureCode.CONNECTION_LIMIT,
    }
)
_AGES = {route.database: route.max_age for route in ROUTES}


class AuditedCluster(Protocol):
    """A deployment whose callers and instances are watched."""

    # Its time.
    simulator: Any
    # Its instances.
    group: SimulatedGroup

    @property
    def proxies(self) -> Sequence[Any]:
        """Return its proxies; those that live and run take sessions."""

    def open_session(self, node: Any, database: str) -> Any:
        """Open a session."""

    def send_request(self, caller: Any, statement: Statement) -> str:
        """Send a request; return its id."""


SiteT = TypeVar("SiteT", bound=AuditedCluster)


@dataclass(slots=True)
class Audit:
    """What callers were told, and what the instances did."""

    violations: list[str] = field(default_factory=list)
    # When each value was acknowledged, in seconds.
    acknowledged: dict[str, float] = field(default_factory=dict)
    # Values that their callers were told are not kept.
    promised_gone: set[str] = field(default_factory=set)
    # How often each value was committed.
    commits: dict[str, int] = field(default_factory=dict)
    # Values committed at an instance although a later term had begun.
    late: set[str] = field(default_factory=set)
    answered: int = 0
    refused: int = 0

    def add_violation(self, text: str) -> None:
        """Note a violation."""
        self.violations.append(text)


@dataclass(slots=True)
class AuditedCaller:
    """A caller that works without a pause; a closed session is opened again elsewhere."""

    drill: AuditedRun[Any]
    number: int
    link: Any = None
    database: str = ""
    # Values of the session that were acknowledged.
    values: dict[str, str] = field(default_factory=dict)
    # Values written by the transaction that is open.
    written: list[str] = field(default_factory=list)
    # Statements to send.
    plan: list[Statement] = field(default_factory=list)
    # True from the beginning of a transaction to the answer that ends it.
    in_transaction: bool = False
    # The statement that is not answered, its id, and when it was sent.
    sent: Statement | None = None
    # When the first byte of the transaction or statement was sent.
    began_at: float = 0.0
    # When this session's last commit was acknowledged.
    own_values: list[str] = field(default_factory=list)
    # Runs of the caller's link, so that answers to an earlier one are not taken.
    epoch: int = 0

    def send_next(self) -> None:
        """Send the next statement."""
        drill = self.drill
        if self.link is None or self.link.is_closed:
            self._reopen()
            return
        if not self.plan:
            self._make_plan()
        self.sent = self.plan.pop(0)
        if not self.in_transaction:
            self.began_at = drill.cluster.simulator.now
        self.in_transaction = self.in_transaction or isinstance(self.sent, Begin)
        request = drill.cluster.send_request(self.link, self.sent)
        drill.senders[request] = (self, dict(self.values), self.began_at, list(self.own_values))

    def _reopen(self) -> None:
        drill = self.drill
        self.epoch += 1
        self.values, self.written, self.plan, self.own_values = {}, [], [], []
        self.in_transaction = False
        alive = [p for p in drill.cluster.proxies if p.alive and not p.paused]
        if not alive or not drill.is_running:
            if drill.is_running:
                drill.cluster.simulator.call_later(0.3, self.send_next)
            return
        self.database = drill.random.choice((QUOTES, QUOTES, CATALOGUE, JOBS, JOBS))
        node = drill.random.choice(alive)
        link = drill.cluster.open_session(node, self.database)
        self.link = link
        link.on_reply = partial(self._take, self.epoch)
        link.on_close = partial(self._notice_end, self.epoch)
        drill.cluster.simulator.call_later(0.05, self.send_next)

    def _notice_end(self, epoch: int) -> None:
        """Go on after a session that ended while a request was in progress."""
        if epoch == self.epoch and self.sent is not None:
            self.sent = None
            self.drill.cluster.simulator.call_later(0.2, self.send_next)

    def _make_plan(self) -> None:
        random, drill = self.drill.random, self.drill
        item = f"k{random.randrange(6)}"
        choice = random.random()
        if choice < 0.1:
            self.plan = [SetValue(f"v{random.randrange(2)}", str(drill.next_number()))]
        elif choice < 0.4 or self.database == CATALOGUE:
            if random.random() < 0.3:
                self.plan = [Begin(True), Read(item), Read("k0"), Commit()]
            else:
                self.plan = [Read(item)]
        elif choice < 0.7:
            self.plan = [Write(f"{item} w{drill.next_number()}")]
        else:
            end: Statement = Commit() if random.random() < 0.8 else Rollback()
            writes = [Write(f"{item} w{drill.next_number()}") for _ in range(2)]
            self.plan = [Begin(False), Read(item), *writes, end]

    def _take(self, epoch: int, reply: Reply) -> None:
        if epoch != self.epoch or self.sent is None:
            return
        statement, self.sent = self.sent, None
        self.in_transaction = reply.state is not TransactionState.IDLE
        if reply.failure is None:
            self.drill.audit.answered += 1
            self._take_success(statement, reply)
        else:
            self.drill.audit.refused += 1
            self._take_failure(statement, reply.failure.code)
        pause = 0.01 + 0.1 * self.drill.random.random()
        self.drill.cluster.simulator.call_later(pause, self.send_next)

    def _take_success(self, statement: Statement, reply: Reply) -> None:
        audit, now = self.drill.audit, self.drill.cluster.simulator.now
        in_transaction = reply.state.value == "open"
        match statement:
            case Read() | Commit() if reply.signature == "-":
                audit.add_violation(f"{statement} succeeded without a signature")
        match statement:
            case SetValue(name, value):
                self.values[name] = value
            case Write(arguments):
                value = arguments.partition(" ")[2]
                if reply.signature == "-":
                    audit.add_violation(f"{statement} succeeded without a signature")
                if in_transaction:
                    self.written.append(value)
                else:
                    self._acknowledge([value], now)
            case Commit():
                self._acknowledge(self.written, now)
                self.written = []
            case Rollback():
                audit.promised_gone.update(self.written)
                self.written = []

    def _acknowledge(self, values: list[str], now: float) -> None:
        audit = self.drill.audit
        for value in values:
            audit.acknowledged[value] = now
            self.own_values.append(value)
            if value in audit.late:
                audit.add_violation(f"{value} was committed at a replaced primary and acknowledged")

    def _take_failure(self, statement: Statement, code: FailureCode) -> None:
        written = list(self.written)
        if isinstance(statement, Write):
            written.append(statement.arguments.partition(" ")[2])
        if code in PROMISES:
            self.drill.audit.promised_gone.update(written)
        self.written = []
        begun = any(isinstance(step, Commit | Rollback) for step in self.plan)
        self.plan = [Rollback()] if begun and not isinstance(statement, Commit) else []


class AuditedRun(Generic[SiteT]):
    """A site, its callers, and what is checked of them."""

    def __init__(self, site: SiteT, random: Random, callers: int) -> None:
        self.cluster = site
        self.random = random
        self.audit = Audit()
        # Who sent each request: the caller, its values, when it began, its own commits.
        self.senders: dict[str, tuple[AuditedCaller, dict[str, str], float, list[str]]] = {}
        self.is_running = True
        self._numbers = 0
        site.group.on_execute = self._check_run
        site.group.on_commit = self._check_commit
        self.callers = [AuditedCaller(self, number) for number in range(callers)]

    def next_number(self) -> int:
        """Return a number that was not used before."""
        self._numbers += 1
        return self._numbers

    # Checks.

    def _check_run(self, member: SimulatedInstance, request: str, values: dict[str, str]) -> None:
        """Check a statement at the moment an instance runs it."""
        found = self.senders.get(request)
        if found is None:
            self.audit.add_violation(f"{request} runs and nobody sent it")
            return
        caller, expected, began_at, own = found
        if values != expected:
            self.audit.add_violation(f"{request} runs with {values}, its session has {expected}")
        self._check_freshness(member, request, caller, began_at, own)

    def _check_freshness(
        self,
        member: SimulatedInstance,
        request: str,
        caller: AuditedCaller,
        began_at: float,
        own: list[str],
    ) -> None:
        primary = self.cluster.group.primary()
        limit = began_at - _AGES[caller.database]
        for entry in primary.log[_shared_length(member, primary) :]:
            for _, value in entry.writes:
                at = self.audit.acknowledged.get(value)
                is_owed = at is not None and at < limit
                is_own = caller.database == JOBS and value in own
                if is_owed or is_own:
                    where = f"{member.name} ({member.role.value}, term {member.term})"
                    self.audit.add_violation(
                        f"{request} at {where} lacks {value}, acknowledged at {at}"
                    )
                    return

    def _check_commit(self, member: SimulatedInstance, writes: dict[str, str]) -> None:
        newest = max(
            m.term for m in self.cluster.group.members.values() if m.role is DbRole.PRIMARY
        )
        for value in writes.values():
            self.audit.commits[value] = self.audit.commits.get(value, 0) + 1
            if member.term < newest:
                self.audit.late.add(value)

    def check_invariants(self) -> None:
        for value, times in self.audit.commits.items():
            if times > 1:
                self.audit.add_violation(f"{value} was committed {times} times")
            if value in self.audit.promised_gone:
                self.audit.add_violation(
                    f"{value} was committed though its caller was told it is not"
                )
        tokens = [token for _, token, _ in self.cluster.group.promotion_orders]
        if tokens != sorted(tokens):
            self.audit.add_violation(f"tokens of orders went down: {tokens}")
        holders: dict[int, str] = {}
        for holder, token, _ in self.cluster.group.promotion_orders:
            if holders.setdefault(token, holder) != holder:
                self.audit.add_violation(f"two holders ordered with token {token}")


def _shared_length(member: SimulatedInstance, primary: SimulatedInstance) -> int:
    """Return how many entries of the primary's log an instance holds."""
    shared = min(len(member.log), len(primary.log))
    while shared and member.log[shared - 1] is not primary.log[shared - 1]:
        shared -= 1
    return shared
