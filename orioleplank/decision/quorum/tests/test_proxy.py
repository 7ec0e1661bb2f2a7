"""Decision logic of a whole proxy; the test supplies all messages."""

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
    """A proxy for a group of three instances, which receives all its messages from the test."""

    def __init__(self, disabled: frozenset[Safeguard] = frozenset()) -> None:
        self.proxy = Proxy(ProxyIdentity("p", "p-1", "akl-a"), Safeguards(disabled))
        self.now = 0.0
        self.silent_instances: set[str] = set()
        self.replies: list[Reply] = []
        self.statements: list[SendStatement] = []
        shares = tuple(SlotShare(OWN, name, 5, 30) for name in "abc")
        self.send_message(
            ObjectsReceived(
                2,
                (
                    self.make_stored_object(ObjectKind.SERVICE, 1, SPEC),
                    self.make_stored_object(ObjectKind.ALLOTMENT, 2, AllotmentSpec(shares)),
                ),
            )
        )
        self.advance_time(0.3)

    def make_stored_object(
        self, kind: ObjectKind, version: int, spec: ServiceSpec | AllotmentSpec
    ) -> StoredObject:
        """Return an object as the platform stores it."""
        body = dump_body(ChangeMetadata("c", "ana", 0.0), spec)
        return StoredObject(ObjectKey(kind, "books"), version, body)

    def send_message(self, message: Message) -> None:
        """Pass a message to the proxy and carry out the resulting effects."""
        for effect in self.proxy.handle(message, self.now):
            self.carry_out(effect)

    def carry_out(self, effect: Effect) -> None:
        """Open connections and answer probe rounds at once; record statements and replies."""
        match effect:
            case ProbeInstance(instance=name, round_number=number) if (
                name not in self.silent_instances
            ):
                self.send_message(InstanceReported("books", self.make_report(name), number))
            case OpenConnection(connection):
                self.send_message(ConnectionOpened(connection))
            case SendStatement():
                self.statements.append(effect)
            case Reply():
                self.replies.append(effect)

    def make_report(self, name: str) -> Report:
        """Return the report of an instance of a group whose primary is `a` in term 1."""
        role = Role.PRIMARY if name == "a" else Role.REPLICA
        return Report(name, 1, role, TermHistory(LAST, (TermStart(1, 1),)), following="a")

    def advance_time(self, seconds: float) -> None:
        """Advance the clock in ticks of 20 ms."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.02
            self.send_message(Tick())

    def send_request(
        self, write: bool = False, request_id: str = "r", sent_before: bool = False
    ) -> None:
        """Send a request of a caller with a deadline of two seconds: a write, or a current read."""
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
        """Answer the last statement successfully at `position`."""
        sent_statement = self.statements[-1]
        message = StatementEnded(
            sent_statement.connection,
            sent_statement.statement,
            StatementStatus.DONE,
            position,
            b"rows",
        )
        self.send_message(message)

    @property
    def outcomes(self) -> list[Answer | Refusal]:
        """Outcomes sent to the caller, in order."""
        return [reply.outcome for reply in self.replies]


class CurrentReadTest(TestCase):
    def test_current_read_is_answered_once_while_instances_answer_probe_rounds(self) -> None:
        harness = ProxyHarness()
        harness.send_request()
        harness.answer_statement()
        harness.advance_time(0.2)
        self.assertEqual([Answer], [type(outcome) for outcome in harness.outcomes])


class WriteTest(TestCase):
    def test_write_is_held_until_a_majority_reports_it(self) -> None:
        harness = ProxyHarness()
        harness.send_request(write=True)
        harness.answer_statement(Position(1, 5))
        harness.advance_time(0.2)
        self.assertEqual([], harness.outcomes)
        term_history = TermHistory(Position(1, 5), (TermStart(1, 1),))
        harness.send_message(InstanceReported("books", Report("b", 1, Role.REPLICA, term_history)))
        self.assertEqual([Answer], [type(outcome) for outcome in harness.outcomes])

    def test_write_is_in_doubt_when_no_majority_reports_it_before_the_deadline(self) -> None:
        harness = ProxyHarness()
        harness.send_request(write=True)
        harness.answer_statement(Position(1, 5))
        harness.advance_time(2.1)
        refusal = harness.outcomes[0]
        assert isinstance(refusal, Refusal)
        self.assertEqual(
            (DidRun.UNKNOWN, RefusalReason.DEADLINE), (refusal.did_run, refusal.reason)
        )

    def test_write_is_sent_with_its_term_and_ledger_id(self) -> None:
        harness = ProxyHarness()
        harness.send_request(write=True)
        self.assertEqual((1, "r"), (harness.statements[0].term, harness.statements[0].ledger_id))

    def test_duplicate_id_is_refused_while_the_first_request_is_in_progress(self) -> None:
        harness = ProxyHarness()
        harness.send_request(write=True)
        harness.send_request(write=True)
        refusal = harness.outcomes[0]
        assert isinstance(refusal, Refusal)
        self.assertEqual(
            (DidRun.UNKNOWN, RefusalReason.ID_IN_USE), (refusal.did_run, refusal.reason)
        )

    def test_refusal_of_a_repeated_write_does_not_claim_that_it_has_not_run(self) -> None:
        for sent_before, did_run in ((False, DidRun.NO), (True, DidRun.UNKNOWN)):
            with self.subTest(sent_before=sent_before):
                harness = ProxyHarness()
                harness.silent_instances = set("abc")
                harness.advance_time(1.5)
                harness.send_request(write=True, sent_before=sent_before)
                harness.advance_time(2.1)
                refusal = harness.outcomes[0]
                assert isinstance(refusal, Refusal)
                self.assertEqual(did_run, refusal.did_run)
