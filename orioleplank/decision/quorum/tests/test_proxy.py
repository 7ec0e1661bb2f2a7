"""A whole proxy's decisions, driven by hand."""

from testtools import TestCase

from orioleplank.decision.quorum import (
    AllotmentSpec,
    Answer,
    CallerConnected,
    ChangeMetadata,
    ConnectionOpened,
    CurrentFreshness,
    DidRun,
    Effect,
    InstanceReported,
    InstanceSpec,
    KindSpec,
    Message,
    ObjectKey,
    ObjectKind,
    ObjectsReceived,
    OpenConnection,
    Operation,
    Participant,
    Position,
    ProbeInstance,
    Proxy,
    ProxyIdentity,
    Refusal,
    RefusalReason,
    Reply,
    Report,
    Request,
    RequestArrived,
    Role,
    Safeguard,
    Safeguards,
    SendStatement,
    ServiceSpec,
    SessionFreshness,
    SessionToken,
    SlotShare,
    StatementEnded,
    StatementStatus,
    StoredObject,
    TermHistory,
    TermStart,
    Tick,
    dump_body,
)

SPEC = ServiceSpec(
    tuple(InstanceSpec(name, name, "akl-a") for name in "abc"), (KindSpec("save", 9),)
)
OWN = Participant("p", "p-1")
LAST = Position(1, 4)


class ProxyHarness:
    """A proxy in front of a group of three, all of whose messages come from the test."""

    def __init__(self, off: frozenset[Safeguard] = frozenset()) -> None:
        self.proxy = Proxy(ProxyIdentity("p", "p-1", "akl-a"), Safeguards(off))
        self.now = 0.0
        self.silent_instances: set[str] = set()
        self.replies: list[Reply] = []
        self.statements: list[SendStatement] = []
        shares = tuple(SlotShare(OWN, name, 5, 30) for name in "abc")
        self.send_message(
            ObjectsReceived(
                2,
                (
                    self.store(ObjectKind.SERVICE, 1, SPEC),
                    self.store(ObjectKind.ALLOTMENT, 2, AllotmentSpec(shares)),
                ),
            )
        )
        self.advance_time(0.3)

    def store(
        self, kind: ObjectKind, version: int, spec: ServiceSpec | AllotmentSpec
    ) -> StoredObject:
        """Return an object as the platform keeps it."""
        body = dump_body(ChangeMetadata("c", "ana", 0.0), spec)
        return StoredObject(ObjectKey(kind, "books"), version, body)

    def send_message(self, message: Message) -> None:
        """Give the proxy a message, and do what it wants."""
        for effect in self.proxy.handle(message, self.now):
            self.carry_out(effect)

    def carry_out(self, effect: Effect) -> None:
        """Open connections and answer rounds at once; keep statements and replies."""
        match effect:
            case ProbeInstance(instance=name, round_number=number) if (
                name not in self.silent_instances
            ):
                self.send_message(InstanceReported("books", self.report(name), number))
            case OpenConnection(connection):
                self.send_message(ConnectionOpened(connection))
            case SendStatement():
                self.statements.append(effect)
            case Reply():
                self.replies.append(effect)

    def report(self, name: str) -> Report:
        """Return a report of a group whose primary is `a` in term 1."""
        role = Role.PRIMARY if name == "a" else Role.REPLICA
        return Report(name, 1, role, TermHistory(LAST, (TermStart(1, 1),)), following="a")

    def advance_time(self, seconds: float) -> None:
        """Let time pass in ticks of 20 ms."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.02
            self.send_message(Tick())

    def send_request(
        self, write: bool = False, request_id: str = "r", sent_before: bool = False
    ) -> None:
        """Let a caller send a request with a deadline of two seconds."""
        self.send_message(CallerConnected(1))
        freshness = SessionFreshness() if write else CurrentFreshness()
        request = Request(
            request_id,
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
        self.send_message(RequestArrived(1, request))

    def answer_statement(self, position: Position = LAST) -> None:
        """Answer the last statement."""
        sent = self.statements[-1]
        ended = StatementEnded(
            sent.connection, sent.statement, StatementStatus.DONE, position, b"rows"
        )
        self.send_message(ended)

    @property
    def outcomes(self) -> list[Answer | Refusal]:
        """What the caller was told."""
        return [reply.outcome for reply in self.replies]


class CurrentReadTest(TestCase):
    def test_waits_for_a_round_begun_after_it_arrived(self) -> None:
        bench = ProxyHarness()
        bench.send_request()
        bench.answer_statement()
        bench.advance_time(0.2)
        self.assertEqual([Answer], [type(outcome) for outcome in bench.outcomes])


class WriteTest(TestCase):
    def test_is_held_until_a_majority_has_it(self) -> None:
        bench = ProxyHarness()
        bench.send_request(write=True)
        bench.answer_statement(Position(1, 5))
        bench.advance_time(0.2)
        self.assertEqual([], bench.outcomes)
        lineage = TermHistory(Position(1, 5), (TermStart(1, 1),))
        bench.send_message(InstanceReported("books", Report("b", 1, Role.REPLICA, lineage)))
        self.assertEqual([Answer], [type(outcome) for outcome in bench.outcomes])

    def test_is_unknown_when_no_majority_shows_it_in_time(self) -> None:
        bench = ProxyHarness()
        bench.send_request(write=True)
        bench.answer_statement(Position(1, 5))
        bench.advance_time(2.1)
        refusal = bench.outcomes[0]
        assert isinstance(refusal, Refusal)
        self.assertEqual(
            (DidRun.UNKNOWN, RefusalReason.DEADLINE), (refusal.did_run, refusal.reason)
        )

    def test_goes_out_with_its_term_and_ledger_id(self) -> None:
        bench = ProxyHarness()
        bench.send_request(write=True)
        self.assertEqual((1, "r"), (bench.statements[0].term, bench.statements[0].ledger_id))

    def test_same_id_twice_is_refused_while_the_first_is_in_progress(self) -> None:
        bench = ProxyHarness()
        bench.send_request(write=True)
        bench.send_request(write=True)
        refusal = bench.outcomes[0]
        assert isinstance(refusal, Refusal)
        self.assertEqual(
            (DidRun.UNKNOWN, RefusalReason.ID_IN_USE), (refusal.did_run, refusal.reason)
        )

    def test_repeat_is_not_said_to_have_not_run(self) -> None:
        for sent_before, did_run in ((False, DidRun.NO), (True, DidRun.UNKNOWN)):
            with self.subTest(sent_before=sent_before):
                bench = ProxyHarness()
                bench.silent_instances = set("abc")
                bench.advance_time(1.5)
                bench.send_request(write=True, sent_before=sent_before)
                bench.advance_time(2.1)
                refusal = bench.outcomes[0]
                assert isinstance(refusal, Refusal)
                self.assertEqual(did_run, refusal.did_run)
