"""Callers of a run: scripts that ask, check what they get, and write down what they were told."""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass, field, replace
from itertools import count

from orioleplank.client import make_payload, make_query, read_rows
from orioleplank.decision import (
    EMPTY_TOKEN,
    Answer,
    CallerArrived,
    Current,
    DidRun,
    Freshness,
    MaxAge,
    Operation,
    Outcome,
    Reply,
    Request,
    RequestArrived,
    SessionFreshness,
    SessionToken,
)
from orioleplank.tests._fabric import Node
from orioleplank.tests._world import SERVICE, ProxyNode, World

TIMEOUT_S = 4.0
MARGIN_S = 0.5
POLL_S = 0.1
THINK_S = 0.06
SLOW_THINK_S = 0.3
SESSION = SessionFreshness()
REPEATS = 3
AGE_S = 1.0


@dataclass(slots=True)
class Written:
    """A write and what its caller was told of it."""

    # Id of the request.
    id: str
    # When it was sent, in seconds of the fabric.
    sent_at: float
    # When its answer left the proxy; None while there is none.
    acknowledged_at: float | None = None
    # True when its caller was told that it did not run.
    denied: bool = False
    # True when the counting reads count it.
    counted: bool = False


@dataclass(slots=True)
class History:
    """What all callers were told, and what they saw broken."""

    # All writes.
    writes: list[Written] = field(default_factory=list)
    # Broken promises, one sentence each.
    broken: list[str] = field(default_factory=list)
    # Requests that got no reply from a proxy that stopped gracefully.
    cut_by_stop: int = 0
    # Requests answered.
    answered: int = 0

    def acknowledged_before(self, at: float) -> int:
        """Return how many writes that the counting reads count were acknowledged before `at`."""
        return sum(
            write.counted and write.acknowledged_at is not None and write.acknowledged_at < at
            for write in self.writes
        )


@dataclass(frozen=True, slots=True)
class Ask:
    """A request of a script."""

    # Id of the request.
    id: str
    # Name of the kind.
    kind: str
    # Queries to run.
    payload: bytes
    # True when it changes data.
    write: bool = False
    # How recent the data has to be.
    freshness: Freshness = SESSION
    # Which step it is.
    operation: Operation = Operation.RUN
    # Name of the transaction.
    transaction: str = ""
    # True when running it twice does no harm.
    repeatable: bool = False
    # True to send it to the same proxy as the request before.
    stay: bool = False
    # True when it has been sent before.
    sent_before: bool = False
    # True to send it to any proxy that lives, as a balancer with an old view would.
    anywhere: bool = False


@dataclass(frozen=True, slots=True)
class Told:
    """How a request ended."""

    # The outcome; None when the stream broke or nothing came in time.
    outcome: Outcome | None
    # When the outcome left the proxy, in seconds of the fabric.
    released_at: float = 0.0

    @property
    def answer(self) -> Answer | None:
        """The answer, None when there is none."""
        return self.outcome if isinstance(self.outcome, Answer) else None

    @property
    def denied(self) -> bool:
        """True when the caller is told that it did not run."""
        outcome = self.outcome
        return (
            outcome is not None
            and not isinstance(outcome, Answer)
            and (outcome.did_run is DidRun.NO)
        )


Script = Generator[Ask | float, Told, None]


class Client:
    """Runs one script, spreading its requests over the proxies that look healthy."""

    def __init__(self, world: World, history: History, number: int) -> None:
        self.world = world
        self.history = history
        self.token: SessionToken = EMPTY_TOKEN
        self._number = number
        self._ids = count(1)
        self._streams = count(number * 1000)
        self._stream: dict[str, tuple[int, int]] = {}
        self._avoid: set[str] = set()
        self._turn = number
        self._last: ProxyNode | None = None
        self._waiting: str = ""
        self._script: Script
        self.over = False
        self.done = False
        world.fabric.nodes[f"client-{number}"] = Node(f"client-{number}")

    def start(self, script: Script) -> None:
        """Begin the script."""
        self._script = script
        self._go_on(lambda: next(self._script))

    def new_id(self) -> str:
        """Return an id that was not used before."""
        return f"c{self._number}-{next(self._ids)}"

    def _go_on(self, step: Callable[[], Ask | float]) -> None:
        try:
            wanted = step()
        except StopIteration:
            self.done = True
            return
        if isinstance(wanted, Ask):
            self._ask(wanted)
        else:
            self.world.fabric.after(wanted, lambda: self._go_on(lambda: next(self._script)))

    def _pick(self, ask: Ask) -> ProxyNode:
        if ask.stay and self._last is not None:
            return self._last
        healthy = [
            node
            for node in self.world.proxies
            if self._looks_healthy(node) or (ask.anywhere and node.alive and not node.ended)
        ]
        self._turn += 1
        choice = healthy or self.world.proxies
        self._last = choice[self._turn % len(choice)]
        return self._last

    def _looks_healthy(self, node: ProxyNode) -> bool:
        """Tell what a balancer that polls readiness would say."""
        up = node.alive and not node.ended and not node.frozen and node.proxy.is_ready
        return up and node.name not in self._avoid

    def _ask(self, ask: Ask) -> None:
        node = self._pick(ask)
        fabric = self.world.fabric
        self._waiting = ask.id
        if not node.alive or node.ended:
            fabric.after(0.005, lambda: self._end(ask, Told(None)))
            return
        caller = self._open_stream(node)
        self.world.reply_listeners[caller] = lambda reply: self._take(ask, reply)
        token = self.token

        def arrive() -> None:
            if node.ended:
                return
            request = Request(
                ask.id,
                SERVICE,
                ask.kind,
                ask.operation,
                ask.payload,
                ask.write,
                ask.repeatable,
                ask.freshness,
                fabric.now + node.clock + TIMEOUT_S,
                token,
                ask.transaction,
                ask.sent_before,
            )
            self.world.tell(node, RequestArrived(caller, request))

        fabric.deliver(f"client-{self._number}", node.name, arrive)
        self._await(ask, node, node.run, fabric.now + TIMEOUT_S + MARGIN_S)

    def _open_stream(self, node: ProxyNode) -> int:
        opened = self._stream.get(node.name)
        if opened is not None and opened[0] == node.run:
            return opened[1]
        caller = next(self._streams)
        self._stream[node.name] = (node.run, caller)
        self.world.move_listeners[caller] = lambda: self._move(node)
        self.world.fabric.deliver(
            f"client-{self._number}",
            node.name,
            lambda: self.world.tell(node, CallerArrived(caller)),
        )
        return caller

    def _move(self, node: ProxyNode) -> None:
        """Leave a proxy that is stopping, once nothing is awaited from it."""
        self._avoid.add(node.name)
        busy = bool(self._waiting) and self._last is node
        if busy or node.name not in self._stream:
            if busy:
                self.world.fabric.after(POLL_S, lambda: self._move(node))
            return
        _, caller = self._stream.pop(node.name)
        self.world.leave_caller(node, caller)

    def _await(self, ask: Ask, node: ProxyNode, run: int, until: float) -> None:
        """Notice that a stream broke, or that nothing comes any more."""

        def look() -> None:
            if self._waiting != ask.id:
                return
            if node.ended and node.run == run:
                self.history.cut_by_stop += 1
                self._end(ask, Told(None))
            elif not node.alive or node.run != run or self.world.fabric.now >= until:
                self._end(ask, Told(None))
            else:
                self.world.fabric.after(POLL_S, look)

        self.world.fabric.after(POLL_S, look)

    def _take(self, ask: Ask, reply: Reply) -> None:
        if reply.request.id != self._waiting or reply.request.operation is not ask.operation:
            return
        if isinstance(reply.outcome, Answer):
            self.token = reply.outcome.token
            self.history.answered += 1
        self._end(ask, Told(reply.outcome, self.world.released.get(reply.request.id, 0.0)))

    def _end(self, ask: Ask, told: Told) -> None:
        if self._waiting == ask.id:
            self._waiting = ""
            self._go_on(lambda: self._script.send(told))


def write_and_read(client: Client, pace: float = THINK_S) -> Script:
    """Write, repeat under the same id when cut, and read the session's own writes back."""
    session = f"session-{client.new_id()}"
    mine: list[Written] = []
    while not client.over:
        written = Written(client.new_id(), client.world.fabric.now, counted=True)
        client.history.writes.append(written)
        mine.append(written)
        insert = make_query("INSERT INTO t VALUES (?, ?, 0)", written.id, session)
        ask = Ask(written.id, "save", make_payload(insert), write=True)
        yield from _settle(client, ask, written)
        yield pace
        yield from _read_own(client, session, mine)


def _settle(client: Client, ask: Ask, written: Written) -> Generator[Ask | float, Told, None]:
    """Send a write until it is acknowledged or denied, then ask for its outcome."""
    for _ in range(REPEATS):
        told = yield ask
        if _note(written, told):
            return
        ask = replace(ask, sent_before=True)
        yield THINK_S
    for _ in range(REPEATS):
        told = yield Ask(ask.id, "save", b"", write=True, operation=Operation.OUTCOME)
        if _note(written, told):
            return
        yield THINK_S


def _note(written: Written, told: Told) -> bool:
    if told.answer is not None:
        written.acknowledged_at = told.released_at
        return True
    written.denied = told.denied and written.acknowledged_at is None
    return written.denied


def _read_own(client: Client, session: str, mine: list[Written]) -> Script:
    marker = client.new_id()
    select = make_query(
        "SELECT ?, count(*), count(DISTINCT id) FROM t WHERE s = ?", marker, session
    )
    due = sum(write.acknowledged_at is not None for write in mine)
    most = sum(not write.denied for write in mine)
    told = yield Ask(marker, "read", make_payload(select))
    if told.answer is None:
        return
    row = read_rows(told.answer.result)[0][0]
    if row[0] != marker:
        client.history.broken.append(f"read {marker} got the answer of {row[0]!r}")
        return
    seen, distinct = row[1], row[2]
    assert isinstance(seen, int) and isinstance(distinct, int)
    if distinct < due:
        client.history.broken.append(f"read {marker} missed own writes: {distinct} of {due}")
    if seen != distinct or distinct > most:
        client.history.broken.append(f"read {marker} saw doubled or denied writes: {row}")


def read_current(client: Client) -> Script:
    """Read without a token: every acknowledged write has to be there."""
    while not client.over:
        marker = client.new_id()
        due = client.history.acknowledged_before(client.world.fabric.now)
        client.token = EMPTY_TOKEN
        query = make_query("SELECT ?, count(*) FROM t WHERE s LIKE 'session-%'", marker)
        payload = make_payload(query)
        told = yield Ask(marker, "read", payload, freshness=Current(), anywhere=True)
        if told.answer is not None:
            _check_count(client, marker, told, due, "a current read")
        yield THINK_S


def read_aged(client: Client) -> Script:
    """Poll data that may be a second old, and whose total is always nought."""
    seen_before = 0
    while not client.over:
        marker = client.new_id()
        query = make_query("SELECT ?, count(*) FROM t WHERE s LIKE 'session-%'", marker)
        total = make_query("SELECT coalesce(sum(v), 0), count(*) FROM t WHERE s = 'pair'")
        ask = Ask(marker, "read", make_payload(query, total), freshness=MaxAge(AGE_S))
        told = yield ask
        if told.answer is not None:
            due = client.history.acknowledged_before(told.released_at - AGE_S)
            seen_before = max(
                seen_before, _check_count(client, marker, told, due, "an aged read", seen_before)
            )
            rows = read_rows(told.answer.result)
            if rows[1][0][0] != 0:
                client.history.broken.append(f"read {marker} saw half a transaction")
        yield THINK_S


def _check_count(
    client: Client, marker: str, told: Told, due: int, what: str, before: int = 0
) -> int:
    assert told.answer is not None
    row = read_rows(told.answer.result)[0][0]
    if row[0] != marker:
        client.history.broken.append(f"{what} {marker} got the answer of {row[0]!r}")
        return before
    count_ = row[1]
    assert isinstance(count_, int)
    if count_ < due:
        client.history.broken.append(f"{what} {marker} saw {count_} of {due} writes due")
    if count_ < before:
        client.history.broken.append(f"{what} {marker} went back from {before} to {count_}")
    return count_


def run_slow_transactions(client: Client) -> Script:
    """Run transactions whose caller thinks between the steps."""
    return run_transactions(client, SLOW_THINK_S)


def run_transactions(client: Client, pace: float = 0.0) -> Script:
    """Insert two lines that add up to nought in one transaction; ask for the outcome when cut."""
    while not client.over:
        written = Written(client.new_id(), client.world.fabric.now)
        client.history.writes.append(written)
        name = f"t-{written.id}"
        insert = "INSERT INTO t VALUES (?, 'pair', ?)"
        steps = [
            Ask(client.new_id(), "save", b"", True, operation=Operation.BEGIN, transaction=name)
        ]
        for value in (1, -1):
            payload = make_payload(make_query(insert, f"{written.id}/{value}", value))
            steps.append(
                Ask(
                    client.new_id(),
                    "save",
                    payload,
                    True,
                    operation=Operation.STEP,
                    transaction=name,
                    stay=True,
                )
            )
        commit = Ask(
            written.id,
            "save",
            b"",
            True,
            operation=Operation.COMMIT,
            transaction=name,
            stay=True,
        )
        told = Told(None)
        for step in (*steps, commit):
            if pace and step.stay:
                yield pace
            told = yield step
            if told.answer is None:
                break
        else:
            written.acknowledged_at = told.released_at
        if told.answer is None:
            yield from _settle_commit(client, written, told, step is commit)
        yield THINK_S


def _settle_commit(client: Client, written: Written, told: Told, sent: bool) -> Script:
    if not sent or told.denied:
        written.denied = True
        return
    for _ in range(REPEATS):
        told = yield Ask(written.id, "save", b"", write=True, operation=Operation.OUTCOME)
        if _note(written, told):
            return
        yield THINK_S


def push_receipts(client: Client) -> Script:
    """Push receipts, which may be run twice."""
    while not client.over:
        written = Written(client.new_id(), client.world.fabric.now)
        client.history.writes.append(written)
        insert = make_query("INSERT OR REPLACE INTO u VALUES (?)", written.id)
        ask = Ask(written.id, "sync", make_payload(insert), write=True, repeatable=True)
        told = yield ask
        if told.answer is not None:
            written.acknowledged_at = told.released_at
        yield THINK_S


def create_tables(client: Client) -> Script:
    """Create the tables of the other scripts."""
    for statement in (
        "CREATE TABLE t (id TEXT, s TEXT, v INTEGER)",
        "CREATE TABLE u (id TEXT PRIMARY KEY)",
    ):
        payload = make_payload(make_query(statement))
        told = yield Ask(client.new_id(), "save", payload, write=True)
        if told.answer is None:
            client.history.broken.append(f"{statement} was not answered: {told.outcome}")
