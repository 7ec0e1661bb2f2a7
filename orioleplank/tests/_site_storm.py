"""Many faults at once on a site, and an audit of every answer against what the instances ran."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from orioleplank.decision.instances import DbRole, InstanceState
from orioleplank.decision.session import (
    Begin,
    Code,
    Commit,
    Read,
    Reply,
    Rollback,
    SetValue,
    Statement,
    TransactionState,
    Write,
)
from orioleplank.tests._site import CATALOGUE, JOBS, QUOTES, ROUTES, Site, SiteCaller, SiteProxy
from orioleplank.tests._site_instances import SiteInstance
from orioleplank.tests._site_store import STORE

START_S = 3.0
STORM_S = 40.0
CALM_S = 25.0
# Codes after which nothing of a request may be kept.
PROMISES = frozenset(
    {
        Code.BUSY,
        Code.ABORTED,
        Code.LAGGING,
        Code.READ_ONLY,
        Code.WRONG_INSTANCE,
        Code.CONNECTION_LIMIT,
    }
)
_AGES = {route.database: route.max_age for route in ROUTES}


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

    def blame(self, text: str) -> None:
        """Note a violation."""
        self.violations.append(text)


@dataclass(slots=True)
class StormCaller:
    """A caller that works without a pause; a closed session is opened again elsewhere."""

    storm: Storm
    number: int
    link: SiteCaller | None = None
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

    def step(self) -> None:
        """Send the next statement."""
        storm = self.storm
        if self.link is None or self.link.is_closed:
            self._reopen()
            return
        if not self.plan:
            self._make_plan()
        self.sent = self.plan.pop(0)
        if not self.in_transaction:
            self.began_at = storm.site.fabric.now
        self.in_transaction = self.in_transaction or isinstance(self.sent, Begin)
        request = storm.site.send(self.link, self.sent)
        storm.senders[request] = (self, dict(self.values), self.began_at, list(self.own_values))

    def _reopen(self) -> None:
        storm = self.storm
        self.epoch += 1
        self.values, self.written, self.plan, self.own_values = {}, [], [], []
        self.in_transaction = False
        alive = [p for p in storm.site.proxies if p.alive and not p.frozen]
        if not alive or not storm.is_running:
            if storm.is_running:
                storm.site.fabric.after(0.3, self.step)
            return
        self.database = storm.random.choice((QUOTES, QUOTES, CATALOGUE, JOBS, JOBS))
        node = storm.random.choice(alive)
        link = storm.site.open(node, self.database)
        self.link = link
        link.on_reply = partial(self._take, self.epoch)
        link.on_close = partial(self._notice_end, self.epoch)
        storm.site.fabric.after(0.05, self.step)

    def _notice_end(self, epoch: int) -> None:
        """Go on after a session that ended while a request was in progress."""
        if epoch == self.epoch and self.sent is not None:
            self.sent = None
            self.storm.site.fabric.after(0.2, self.step)

    def _make_plan(self) -> None:
        random, storm = self.storm.random, self.storm
        item = f"k{random.randrange(6)}"
        choice = random.random()
        if choice < 0.1:
            self.plan = [SetValue(f"v{random.randrange(2)}", str(storm.next_number()))]
        elif choice < 0.4 or self.database == CATALOGUE:
            if random.random() < 0.3:
                self.plan = [Begin(True), Read(item), Read("k0"), Commit()]
            else:
                self.plan = [Read(item)]
        elif choice < 0.7:
            self.plan = [Write(f"{item} w{storm.next_number()}")]
        else:
            end: Statement = Commit() if random.random() < 0.8 else Rollback()
            writes = [Write(f"{item} w{storm.next_number()}") for _ in range(2)]
            self.plan = [Begin(False), Read(item), *writes, end]

    def _take(self, epoch: int, reply: Reply) -> None:
        if epoch != self.epoch or self.sent is None:
            return
        statement, self.sent = self.sent, None
        self.in_transaction = reply.state is not TransactionState.IDLE
        if reply.failure is None:
            self.storm.audit.answered += 1
            self._take_success(statement, reply)
        else:
            self.storm.audit.refused += 1
            self._take_failure(statement, reply.failure.code)
        pause = 0.01 + 0.1 * self.storm.random.random()
        self.storm.site.fabric.after(pause, self.step)

    def _take_success(self, statement: Statement, reply: Reply) -> None:
        audit, now = self.storm.audit, self.storm.site.fabric.now
        in_transaction = reply.state.value == "open"
        match statement:
            case Read() | Commit() if reply.signature == "-":
                audit.blame(f"{statement} succeeded without a signature")
        match statement:
            case SetValue(name, value):
                self.values[name] = value
            case Write(arguments):
                value = arguments.partition(" ")[2]
                if reply.signature == "-":
                    audit.blame(f"{statement} succeeded without a signature")
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
        audit = self.storm.audit
        for value in values:
            audit.acknowledged[value] = now
            self.own_values.append(value)
            if value in audit.late:
                audit.blame(f"{value} was committed at a replaced primary and acknowledged")

    def _take_failure(self, statement: Statement, code: Code) -> None:
        written = list(self.written)
        if isinstance(statement, Write):
            written.append(statement.arguments.partition(" ")[2])
        if code in PROMISES:
            self.storm.audit.promised_gone.update(written)
        self.written = []
        begun = any(isinstance(step, Commit | Rollback) for step in self.plan)
        self.plan = [Rollback()] if begun and not isinstance(statement, Commit) else []


class Storm:
    """A site under random faults."""

    def __init__(
        self, seed: int, proxies: int = 4, callers: int = 10, connections: int = 30
    ) -> None:
        self.random = Random(seed)
        self.site = Site(seed, proxies, connections)
        self.audit = Audit()
        # Who sent each request: the caller, its values, when it began, its own commits.
        self.senders: dict[str, tuple[StormCaller, dict[str, str], float, list[str]]] = {}
        self.is_running = True
        self._numbers = 0
        self.site.group.on_run = self._check_run
        self.site.group.on_commit = self._check_commit
        self.callers = [StormCaller(self, number) for number in range(callers)]

    def next_number(self) -> int:
        """Return a number that was not used before."""
        self._numbers += 1
        return self._numbers

    def play(self) -> Audit:
        """Play the storm, then calm, and audit."""
        self.site.run(START_S)
        for caller in self.callers:
            caller.step()
        self._plan_faults()
        self.site.run(STORM_S)
        self._end_faults()
        self.site.run(CALM_S)
        answered = self.audit.answered
        self.site.run(5.0)
        if self.audit.answered - answered < len(self.callers):
            self.audit.blame("callers are not served after the storm")
        self._check_promises()
        return self.audit

    # Faults.

    def _plan_faults(self) -> None:
        kinds: tuple[Callable[[], None], ...] = (
            self._crash_primary,
            self._crash_replica,
            self._cut_primary,
            self._cut_store,
            self._cut_proxies,
            self._freeze_proxy,
            self._suspend_proxy,
            self._kill_proxy,
            self._kill_all,
            self._stop_store,
            self._refuse_some,
            self._lose_store_answers,
            self._slow_store,
            self._forget_history,
            self._lag_replica,
            self._deafen_replica,
            self._lose_answers,
            self._drain_primary,
            self._fill_instance,
            self._change_routes,
        )
        at = 1.0
        while at < STORM_S - 6.0:
            self.site.fabric.after(at, self.random.choice(kinds))
            at += 0.5 + 4.0 * self.random.random()

    def _end_faults(self) -> None:
        site = self.site
        site.fabric.heal()
        site.store.refused.clear()
        site.store.loses_answers, site.store.slowness = False, 0.0
        for member in list(site.group.members.values()):
            member.is_full = member.is_deaf = member.loses_answers = False
            member.lag = 0.003
            self._return_instance(member)
        for node in site.proxies:
            if not node.alive:
                site.start(node)

    def _member(self, role: DbRole) -> SiteInstance | None:
        found = [m for m in self.site.group.members.values() if m.alive and m.role is role]
        return self.random.choice(found) if found else None

    def _crash(self, role: DbRole) -> None:
        member = self._member(role)
        living = [m for m in self.site.group.members.values() if m.alive]
        if member is None or len(living) < 3:
            return
        self.site.crash(member.name)
        self._later(2.0 + 6.0 * self.random.random(), partial(self._return_instance, member))

    def _crash_primary(self) -> None:
        self._crash(DbRole.PRIMARY)

    def _crash_replica(self) -> None:
        self._crash(DbRole.REPLICA)

    def _return_instance(self, member: SiteInstance) -> None:
        if not member.alive:
            self.site.return_instance(member.name)

    def _cut_primary(self) -> None:
        primary = self.site.group.primary()
        share = self.random.sample(self.site.proxies, self.random.randint(1, 3))
        one_way = self.random.random() < 0.3
        for node in share:
            self._cut(node.name, primary.name, one_way)
            node.dialer.lose_links(primary.name) if self.random.random() < 0.3 else None

    def _cut_store(self) -> None:
        self._cut(self._proxy().name, STORE, False)

    def _cut_proxies(self) -> None:
        one = self._proxy()
        for other in self.site.proxies:
            if other is not one and self.random.random() < 0.7:
                self._cut(one.name, other.name, False)

    def _cut(self, one: str, other: str, one_way: bool) -> None:
        fabric = self.site.fabric
        pairs = [(one, other)] if one_way else [(one, other), (other, one)]
        fabric.cuts.update(pairs)
        heal = partial(fabric.cuts.difference_update, pairs)
        self._later(1.0 + 8.0 * self.random.random(), heal)

    def _proxy(self) -> SiteProxy:
        return self.random.choice(self.site.proxies)

    def _freeze_proxy(self) -> None:
        self.site.fabric.freeze(self._proxy().name, 0.5 + 12.0 * self.random.random())

    def _suspend_proxy(self) -> None:
        node, seconds = self._proxy(), 12.0 * self.random.random()
        self.site.fabric.freeze(node.name, seconds)

    def _kill_proxy(self) -> None:
        self._kill(self._proxy())

    def _kill(self, node: SiteProxy) -> None:
        if not node.alive:
            return
        self.site.kill(node)
        self._later(0.3 + 3.0 * self.random.random(), partial(self._restart, node))

    def _restart(self, node: SiteProxy) -> None:
        if not node.alive:
            self.site.start(node)

    def _kill_all(self) -> None:
        if self.random.random() < 0.3:
            for node in self.site.proxies:
                self._kill(node)

    def _stop_store(self) -> None:
        self.site.store.refused.add("*")
        stop = partial(self.site.store.refused.discard, "*")
        self._later(1.0 + 10.0 * self.random.random(), stop)

    def _refuse_some(self) -> None:
        name = self._proxy().name
        self.site.store.refused.add(name)
        self._later(12.0 * self.random.random(), partial(self.site.store.refused.discard, name))

    def _lose_store_answers(self) -> None:
        self.site.store.loses_answers = True
        self._later(4.0, partial(setattr, self.site.store, "loses_answers", False))

    def _slow_store(self) -> None:
        self.site.store.slowness = 0.4
        self._later(4.0, partial(setattr, self.site.store, "slowness", 0.0))

    def _forget_history(self) -> None:
        self.site.store.forget_history()

    def _lag_replica(self) -> None:
        member = self._member(DbRole.REPLICA)
        if member is not None:
            member.lag = 0.1 + self.random.random()
            self._later(5.0, partial(setattr, member, "lag", 0.003))

    def _deafen_replica(self) -> None:
        member = self._member(DbRole.REPLICA)
        if member is not None:
            member.is_deaf = True
            self._later(4.0, partial(self._undeafen, member))

    def _undeafen(self, member: SiteInstance) -> None:
        if member.alive and member.role is DbRole.REPLICA:
            self.site.group.catch_up(member.name)
        member.is_deaf = False

    def _lose_answers(self) -> None:
        member = self.site.group.primary()
        member.loses_answers = True
        self._later(2.0, partial(setattr, member, "loses_answers", False))

    def _fill_instance(self) -> None:
        member = self.random.choice(list(self.site.group.members.values()))
        member.is_full = True
        self._later(0.7, partial(setattr, member, "is_full", False))

    def _drain_primary(self) -> None:
        primary = self.site.group.primary()
        living = [m for m in self.site.group.members.values() if m.alive]
        if len(living) < 3:
            return
        self.site.drain(primary.name)
        self._later(7.0, partial(self._end_drained, primary))

    def _end_drained(self, member: SiteInstance) -> None:
        if not member.alive or member.entry.state is not InstanceState.DRAINING:
            return
        self.site.crash(member.name)
        self._later(3.0, partial(self._return_instance, member))

    def _change_routes(self) -> None:
        self.site.change_routes(*self.site.routes.routes.values())

    def _later(self, seconds: float, call: Callable[[], object]) -> None:
        def make() -> None:
            call()

        self.site.fabric.after(seconds, make)

    # Checks.

    def _check_run(self, member: SiteInstance, request: str, values: dict[str, str]) -> None:
        """Check a statement at the moment an instance runs it."""
        found = self.senders.get(request)
        if found is None:
            self.audit.blame(f"{request} runs and nobody sent it")
            return
        caller, expected, began_at, own = found
        if values != expected:
            self.audit.blame(f"{request} runs with {values}, its session has {expected}")
        self._check_freshness(member, request, caller, began_at, own)

    def _check_freshness(
        self,
        member: SiteInstance,
        request: str,
        caller: StormCaller,
        began_at: float,
        own: list[str],
    ) -> None:
        primary = self.site.group.primary()
        limit = began_at - _AGES[caller.database]
        for entry in primary.log[_shared_length(member, primary) :]:
            for _, value in entry.writes:
                at = self.audit.acknowledged.get(value)
                is_owed = at is not None and at < limit
                is_own = caller.database == JOBS and value in own
                if is_owed or is_own:
                    where = f"{member.name} ({member.role.value}, term {member.term})"
                    self.audit.blame(f"{request} at {where} lacks {value}, acknowledged at {at}")
                    return

    def _check_commit(self, member: SiteInstance, writes: dict[str, str]) -> None:
        newest = max(m.term for m in self.site.group.members.values() if m.role is DbRole.PRIMARY)
        for value in writes.values():
            self.audit.commits[value] = self.audit.commits.get(value, 0) + 1
            if member.term < newest:
                self.audit.late.add(value)

    def _check_promises(self) -> None:
        for value, times in self.audit.commits.items():
            if times > 1:
                self.audit.blame(f"{value} was committed {times} times")
            if value in self.audit.promised_gone:
                self.audit.blame(f"{value} was committed though its caller was told it is not")
        tokens = [token for _, token, _ in self.site.group.orders]
        if tokens != sorted(tokens):
            self.audit.blame(f"tokens of orders went down: {tokens}")
        holders: dict[int, str] = {}
        for holder, token, _ in self.site.group.orders:
            if holders.setdefault(token, holder) != holder:
                self.audit.blame(f"two holders ordered with token {token}")


def _shared_length(member: SiteInstance, primary: SiteInstance) -> int:
    """Return how many entries of the primary's log an instance holds."""
    shared = min(len(member.log), len(primary.log))
    while shared and member.log[shared - 1] is not primary.log[shared - 1]:
        shared -= 1
    return shared
