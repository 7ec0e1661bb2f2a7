"""Callers that send statements continuously, and an audit of replies against instances."""

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
from orioleplank.tests._changing_keys import KeySource
from orioleplank.tests._gateway_cluster import CATALOGUE, JOBS, QUOTES, ROUTES
from orioleplank.tests._simulated_instances import SimulatedGroup, SimulatedInstance

# Failure codes which state that no write of the request or transaction was committed.
NOT_COMMITTED_CODES = frozenset(
    {
        FailureCode.BUSY,
        FailureCode.ABORTED,
        FailureCode.LAGGING,
        FailureCode.READ_ONLY,
        FailureCode.WRONG_INSTANCE,
        FailureCode.CONNECTION_LIMIT,
    }
)
_MAX_AGE_S = {route.database: route.max_age for route in ROUTES}


class AuditedCluster(Protocol):
    """A deployment whose callers and instances are audited."""

    # Clock of the deployment, simulated or real.
    simulator: Any
    group: SimulatedGroup

    @property
    def proxies(self) -> Sequence[Any]:
        """Return all proxies; those that are alive and not paused accept sessions."""

    def open_session(self, node: Any, database: str, key: str) -> Any:
        """Open a session of a database at a proxy for a caller with a key; return its end."""

    def send_request(self, caller: Any, statement: Statement) -> str:
        """Send a request in a caller's session; return its id."""


ClusterT = TypeVar("ClusterT", bound=AuditedCluster)


@dataclass(slots=True)
class Audit:
    """What replies said, what the instances did, and the contradictions between them."""

    violations: list[str] = field(default_factory=list)
    # Time of the reply that acknowledged each committed value, in seconds.
    acknowledged: dict[str, float] = field(default_factory=dict)
    # Values of which a reply said that they were not committed.
    reported_not_committed: set[str] = field(default_factory=set)
    # Number of commits of each value at instances.
    commit_counts: dict[str, int] = field(default_factory=dict)
    # Values that the primary of an old term committed after a later term had begun.
    committed_in_old_term: set[str] = field(default_factory=set)
    answered: int = 0
    refused: int = 0

    def add_violation(self, text: str) -> None:
        """Record a violation of the guarantees."""
        self.violations.append(text)


@dataclass(slots=True)
class AuditedCaller:
    """A caller that sends one statement after another.

    After its session was closed it opens a new one at a random live proxy.
    """

    audited_run: AuditedRun[Any]
    number: int
    session: Any = None
    database: str = ""
    # Key of the current session.
    key: str = ""
    # Session values (`SetValue`) that were acknowledged.
    values: dict[str, str] = field(default_factory=dict)
    # Values written by the open transaction.
    uncommitted_values: list[str] = field(default_factory=list)
    # Statements to send next, in order.
    planned: list[Statement] = field(default_factory=list)
    # True from sending the beginning of a transaction to the reply that ends it.
    in_transaction: bool = False
    # The statement whose reply has not arrived; None if there is none.
    pending_statement: Statement | None = None
    # When the current transaction, or statement outside one, was sent, in seconds.
    began_at: float = 0.0
    # Values whose commit was acknowledged in this session.
    own_values: list[str] = field(default_factory=list)
    # Number of the current session, so that replies to an earlier one are ignored.
    session_number: int = 0

    def send_next(self) -> None:
        """Send the next statement, or open a new session after the last one was closed."""
        audited_run = self.audited_run
        if self.session is None or self.session.is_closed:
            self._open_new_session()
            return
        if not self.planned:
            self._plan_statements()
        self.pending_statement = self.planned.pop(0)
        if not self.in_transaction:
            self.began_at = audited_run.cluster.simulator.now
        self.in_transaction = self.in_transaction or isinstance(self.pending_statement, Begin)
        request = audited_run.cluster.send_request(self.session, self.pending_statement)
        audited_run.senders[request] = (
            self,
            dict(self.values),
            self.began_at,
            list(self.own_values),
        )

    def _open_new_session(self) -> None:
        audited_run = self.audited_run
        self.session_number += 1
        self.values, self.uncommitted_values, self.planned, self.own_values = {}, [], [], []
        self.in_transaction = False
        alive = [p for p in audited_run.cluster.proxies if p.alive and not p.paused]
        if not alive or not audited_run.is_running:
            if audited_run.is_running:
                audited_run.cluster.simulator.call_later(0.3, self.send_next)
            return
        self.database = audited_run.random.choice((QUOTES, QUOTES, CATALOGUE, JOBS, JOBS))
        node = audited_run.choose_proxy(alive)
        self.key = audited_run.choose_key(self)
        session = audited_run.cluster.open_session(node, self.database, self.key)
        self.session = session
        session.on_reply = partial(self._handle_reply, self.session_number)
        session.on_close = partial(self._handle_close, self.session_number)
        audited_run.cluster.simulator.call_later(0.05, self.send_next)

    def _handle_close(self, session_number: int) -> None:
        """Continue after a session that was closed while a request was in progress."""
        if session_number == self.session_number and self.pending_statement is not None:
            self.pending_statement = None
            self.audited_run.cluster.simulator.call_later(0.2, self.send_next)

    def _plan_statements(self) -> None:
        random, audited_run = self.audited_run.random, self.audited_run
        item = f"k{random.randrange(6)}"
        action_share = random.random()
        if action_share < 0.1:
            self.planned = [SetValue(f"v{random.randrange(2)}", str(audited_run.next_number()))]
        elif action_share < 0.4 or self.database == CATALOGUE:
            if random.random() < 0.3:
                self.planned = [Begin(True), Read(item), Read("k0"), Commit()]
            else:
                self.planned = [Read(item)]
        elif action_share < 0.7:
            self.planned = [Write(f"{item} w{audited_run.next_number()}")]
        else:
            end: Statement = Commit() if random.random() < 0.8 else Rollback()
            writes = [Write(f"{item} w{audited_run.next_number()}") for _ in range(2)]
            self.planned = [Begin(False), Read(item), *writes, end]

    def _handle_reply(self, session_number: int, reply: Reply) -> None:
        if session_number != self.session_number or self.pending_statement is None:
            return
        statement, self.pending_statement = self.pending_statement, None
        self.in_transaction = reply.state is not TransactionState.IDLE
        if reply.failure is None:
            self.audited_run.audit.answered += 1
            self._handle_success(statement, reply)
        else:
            self.audited_run.audit.refused += 1
            self._handle_failure(statement, reply.failure.code)
        delay_s = 0.01 + 0.1 * self.audited_run.random.random()
        self.audited_run.cluster.simulator.call_later(delay_s, self.send_next)

    def _handle_success(self, statement: Statement, reply: Reply) -> None:
        audit, now = self.audited_run.audit, self.audited_run.cluster.simulator.now
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
                    self.uncommitted_values.append(value)
                else:
                    self._acknowledge([value], now)
            case Commit():
                self._acknowledge(self.uncommitted_values, now)
                self.uncommitted_values = []
            case Rollback():
                audit.reported_not_committed.update(self.uncommitted_values)
                self.uncommitted_values = []

    def _acknowledge(self, values: list[str], now: float) -> None:
        audit = self.audited_run.audit
        for value in values:
            audit.acknowledged[value] = now
            self.own_values.append(value)
            if value in audit.committed_in_old_term:
                audit.add_violation(f"{value} was committed at a replaced primary and acknowledged")

    def _handle_failure(self, statement: Statement, code: FailureCode) -> None:
        affected_values = list(self.uncommitted_values)
        if isinstance(statement, Write):
            affected_values.append(statement.arguments.partition(" ")[2])
        if code in NOT_COMMITTED_CODES:
            self.audited_run.audit.reported_not_committed.update(affected_values)
        self.uncommitted_values = []
        is_transaction_open = any(isinstance(step, Commit | Rollback) for step in self.planned)
        self.planned = (
            [Rollback()] if is_transaction_open and not isinstance(statement, Commit) else []
        )


class AuditedRun(Generic[ClusterT]):
    """A cluster, its callers, and the checks of replies against the work of instances."""

    def __init__(
        self, cluster: ClusterT, random: Random, callers: int, keys: KeySource | None = None
    ) -> None:
        self.cluster = cluster
        # Keys with which callers identify themselves; None in a configuration without accounts.
        self.keys = keys
        self.random = random
        self.audit = Audit()
        # By request id: the caller, its session values, when its transaction or statement
        # began, and the values of its own acknowledged commits.
        self.senders: dict[str, tuple[AuditedCaller, dict[str, str], float, list[str]]] = {}
        self.is_running = True
        self._last_number = 0
        cluster.group.on_execute = self._check_run
        cluster.group.on_commit = self._check_commit
        cluster.group.on_promoted = self._check_promotion
        self.callers = [AuditedCaller(self, number) for number in range(callers)]

    def next_number(self) -> int:
        """Return a number that was not returned before."""
        self._last_number += 1
        return self._last_number

    def choose_key(self, caller: AuditedCaller) -> str:
        """Return the key of a caller's new session, also an invalid one; empty without accounts."""
        return self.keys.choose_key(caller.number) if self.keys else ""

    def choose_proxy(self, alive: Sequence[Any]) -> Any:
        """Return the proxy for a new session, one of those that accept sessions."""
        return self.random.choice(alive)

    # Checks.

    def _check_run(
        self, member: SimulatedInstance, request: str, values: dict[str, str], account: str
    ) -> None:
        """Check a statement when an instance runs it: session values, account and freshness."""
        sender = self.senders.get(request)
        if sender is None:
            self.audit.add_violation(f"{request} ran although no caller sent it")
            return
        caller, expected, began_at, own_values = sender
        if values != expected:
            self.audit.add_violation(f"{request} ran with {values}, its session has {expected}")
        self._check_account(request, caller, account)
        self._check_freshness(member, request, caller, began_at, own_values)

    def _check_account(self, request: str, caller: AuditedCaller, account: str) -> None:
        """Check that a statement runs under an account that has, or lately had, the key."""
        accounts = self.keys.recent_accounts(caller.key) if self.keys else {""}
        if account not in accounts:
            self.audit.add_violation(f"{request} with {caller.key} ran under account {account!r}")

    def _check_freshness(
        self,
        member: SimulatedInstance,
        request: str,
        caller: AuditedCaller,
        began_at: float,
        own_values: list[str],
    ) -> None:
        primary = self.cluster.group.primary()
        required_before = began_at - _MAX_AGE_S[caller.database]
        for entry in primary.log[_shared_entry_count(member, primary) :]:
            for _, value in entry.writes:
                acknowledged_at = self.audit.acknowledged.get(value)
                is_required = acknowledged_at is not None and acknowledged_at < required_before
                is_own = caller.database == JOBS and value in own_values
                if is_required or is_own:
                    where = f"{member.name} ({member.role.value}, term {member.term})"
                    self.audit.add_violation(
                        f"{request} at {where} lacks {value}, acknowledged at {acknowledged_at}"
                    )
                    return

    def _check_commit(self, member: SimulatedInstance, writes: dict[str, str]) -> None:
        newest_term = max(
            m.term for m in self.cluster.group.members.values() if m.role is DbRole.PRIMARY
        )
        for value in writes.values():
            self.audit.commit_counts[value] = self.audit.commit_counts.get(value, 0) + 1
            if member.term < newest_term:
                self.audit.committed_in_old_term.add(value)

    def _check_promotion(self, member: SimulatedInstance) -> None:
        """Check that no acknowledged commit is lost, where replicas confirm commits."""
        if not self.cluster.group.sync_replicas:
            return
        held = {value for entry in member.log for _, value in entry.writes}
        # A transaction that writes an item twice commits the second value only.
        committed = self.audit.acknowledged.keys() & self.audit.commit_counts.keys()
        for value in committed - held:
            self.audit.add_violation(f"{member.name} was promoted without {value}")

    def check_invariants(self) -> None:
        """Check commits against replies, and the order and the holders of fencing tokens."""
        for value, count in self.audit.commit_counts.items():
            if count > 1:
                self.audit.add_violation(f"{value} was committed {count} times")
            if value in self.audit.reported_not_committed:
                self.audit.add_violation(
                    f"{value} was committed although its caller was informed that it was not"
                )
        fencing_tokens = [token for _, token, _ in self.cluster.group.promotion_orders]
        if fencing_tokens != sorted(fencing_tokens):
            self.audit.add_violation(
                f"fencing tokens of promotion requests decreased: {fencing_tokens}"
            )
        holders: dict[int, str] = {}
        for holder, token, _ in self.cluster.group.promotion_orders:
            if holders.setdefault(token, holder) != holder:
                self.audit.add_violation(f"two lease holders used fencing token {token}")


def _shared_entry_count(member: SimulatedInstance, primary: SimulatedInstance) -> int:
    """Return the length of the longest prefix of the primary's log that an instance holds."""
    shared = min(len(member.log), len(primary.log))
    while shared and member.log[shared - 1] is not primary.log[shared - 1]:
        shared -= 1
    return shared
