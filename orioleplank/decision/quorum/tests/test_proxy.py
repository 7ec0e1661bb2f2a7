"""A whole proxy's decisions, driven by hand."""

from testtools import TestCase

from orioleplank.decision.quorum import (
    AllotmentSpec,
    Answer,
    AskRound,
    CallerArrived,
    Change,
    ConnectionOpened,
    Current,
    DidRun,
    Effect,
    Identity,
    InstanceReported,
    InstanceSpec,
    Kind,
    KindSpec,
    Lineage,
    Mechanisms,
    Message,
    ObjectKey,
    ObjectsReceived,
    OpenConnection,
    Operation,
    Participant,
    Position,
    Proxy,
    Reason,
    Refusal,
    Reply,
    Report,
    Request,
    RequestArrived,
    Role,
    SendStatement,
    ServiceSpec,
    SessionFreshness,
    SessionToken,
    SlotShare,
    StatementEnded,
    StatementStatus,
    StoredObject,
    Switch,
    TermStart,
    Tick,
    dump_body,
)

SPEC = ServiceSpec(
    tuple(InstanceSpec(name, name, "akl-a") for name in "abc"), (KindSpec("save", 9),)
)
OWN = Participant("p", "p-1")
LAST = Position(1, 4)


class Bench:
    """A proxy in front of a group of three, all of whose messages come from the test."""

    def __init__(self, off: frozenset[Switch] = frozenset()) -> None:
        self.proxy = Proxy(Identity("p", "p-1", "akl-a"), Mechanisms(off))
        self.now = 0.0
        self.silent: set[str] = set()
        self.replies: list[Reply] = []
        self.statements: list[SendStatement] = []
        shares = tuple(SlotShare(OWN, name, 5, 30) for name in "abc")
        self.tell(
            ObjectsReceived(
                2,
                (
                    self.store(Kind.SERVICE, 1, SPEC),
                    self.store(Kind.ALLOTMENT, 2, AllotmentSpec(shares)),
                ),
            )
        )
        self.pass_time(0.3)

    def store(self, kind: Kind, version: int, spec: ServiceSpec | AllotmentSpec) -> StoredObject:
        """Return an object as the platform keeps it."""
        body = dump_body(Change("c", "ana", 0.0), spec)
        return StoredObject(ObjectKey(kind, "books"), version, body)

    def tell(self, message: Message) -> None:
        """Give the proxy a message, and do what it wants."""
        for effect in self.proxy.handle(message, self.now):
            self.carry_out(effect)

    def carry_out(self, effect: Effect) -> None:
        """Open connections and answer rounds at once; keep statements and replies."""
        match effect:
            case AskRound(instance=name, round=number) if name not in self.silent:
                self.tell(InstanceReported("books", self.report(name), number))
            case OpenConnection(connection):
                self.tell(ConnectionOpened(connection))
            case SendStatement():
                self.statements.append(effect)
            case Reply():
                self.replies.append(effect)

    def report(self, name: str) -> Report:
        """Return a report of a group whose primary is `a` in term 1."""
        role = Role.PRIMARY if name == "a" else Role.REPLICA
        return Report(name, 1, role, Lineage(LAST, (TermStart(1, 1),)), following="a")

    def pass_time(self, seconds: float) -> None:
        """Let time pass in ticks of 20 ms."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.02
            self.tell(Tick())

    def ask(self, write: bool = False, id_: str = "r", sent_before: bool = False) -> None:
        """Let a caller send a request with a deadline of two seconds."""
        self.tell(CallerArrived(1))
        freshness = SessionFreshness() if write else Current()
        request = Request(
            id_,
            "books",
            "save",
            Operation.RUN,
            b"payload",
            write,
            False,
            freshness,
            self.now + 2.0,
            SessionToken(),
            sent_before=sent_before,
        )
        self.tell(RequestArrived(1, request))

    def end(self, position: Position = LAST) -> None:
        """Answer the last statement."""
        sent = self.statements[-1]
        ended = StatementEnded(
            sent.connection, sent.statement, StatementStatus.DONE, position, b"rows"
        )
        self.tell(ended)

    @property
    def outcomes(self) -> list[Answer | Refusal]:
        """What the caller was told."""
        return [reply.outcome for reply in self.replies]


class CurrentReadTest(TestCase):
    def test_waits_for_a_round_begun_after_it_arrived(self) -> None:
        bench = Bench()
        bench.ask()
        bench.end()
        bench.pass_time(0.2)
        self.assertEqual([Answer], [type(outcome) for outcome in bench.outcomes])


class WriteTest(TestCase):
    def test_is_held_until_a_majority_has_it(self) -> None:
        bench = Bench()
        bench.ask(write=True)
        bench.end(Position(1, 5))
        bench.pass_time(0.2)
        self.assertEqual([], bench.outcomes)
        lineage = Lineage(Position(1, 5), (TermStart(1, 1),))
        bench.tell(InstanceReported("books", Report("b", 1, Role.REPLICA, lineage)))
        self.assertEqual([Answer], [type(outcome) for outcome in bench.outcomes])

    def test_is_unknown_when_no_majority_shows_it_in_time(self) -> None:
        bench = Bench()
        bench.ask(write=True)
        bench.end(Position(1, 5))
        bench.pass_time(2.1)
        refusal = bench.outcomes[0]
        assert isinstance(refusal, Refusal)
        self.assertEqual((DidRun.UNKNOWN, Reason.DEADLINE), (refusal.did_run, refusal.reason))

    def test_goes_out_with_its_term_and_ledger_id(self) -> None:
        bench = Bench()
        bench.ask(write=True)
        self.assertEqual((1, "r"), (bench.statements[0].term, bench.statements[0].ledger_id))

    def test_same_id_twice_is_refused_while_the_first_is_in_progress(self) -> None:
        bench = Bench()
        bench.ask(write=True)
        bench.ask(write=True)
        refusal = bench.outcomes[0]
        assert isinstance(refusal, Refusal)
        self.assertEqual((DidRun.UNKNOWN, Reason.ID_IN_USE), (refusal.did_run, refusal.reason))

    def test_repeat_is_not_said_to_have_not_run(self) -> None:
        for sent_before, did_run in ((False, DidRun.NO), (True, DidRun.UNKNOWN)):
            with self.subTest(sent_before=sent_before):
                bench = Bench()
                bench.silent = set("abc")
                bench.pass_time(1.5)
                bench.ask(write=True, sent_before=sent_before)
                bench.pass_time(2.1)
                refusal = bench.outcomes[0]
                assert isinstance(refusal, Refusal)
                self.assertEqual(did_run, refusal.did_run)
