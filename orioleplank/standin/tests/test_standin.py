"""The stand-ins keep to what the promises assume of the outside."""

from testtools import TestCase

from orioleplank.client import make_payload, make_query, read_rows
from orioleplank.decision.quorum import Boundary, LedgerState, Position, Role, StatementStatus
from orioleplank.standin import Instance, PlatformState, StatementResult

CREATE = make_payload(make_query("CREATE TABLE t (v INTEGER)"))
INSERT = make_payload(make_query("INSERT INTO t VALUES (1)"))
COUNT = make_payload(make_query("SELECT count(*) FROM t"))


def make_primary(term: int = 1) -> Instance:
    """Return a primary with an empty table."""
    instance = Instance("a", "a-1")
    instance.seal(term)
    instance.promote(term)
    instance.execute(1, term, "", CREATE, True, Boundary.AUTO)
    return instance


def run(
    instance: Instance,
    payload: bytes,
    ledger_id: str = "",
    term: int = 1,
    connection: int = 1,
    boundary: Boundary = Boundary.AUTO,
) -> StatementResult:
    """Run a writing statement."""
    return instance.execute(connection, term, ledger_id, payload, True, boundary)


def count_rows(instance: Instance) -> object:
    """Return how many rows the table has."""
    reply = instance.execute(9, 0, "", COUNT, False, Boundary.AUTO)
    return read_rows(reply.result)[0][0][0]


class InstanceTest(TestCase):
    def test_repeat_gets_the_first_outcome(self) -> None:
        instance = make_primary()
        first, second = run(instance, INSERT, "q1"), run(instance, INSERT, "q1")
        self.assertEqual(StatementStatus.DONE, first.status)
        self.assertEqual(StatementStatus.REPEATED, second.status)
        self.assertEqual((first.position, first.result), (second.position, second.result))
        self.assertEqual(1, count_rows(instance))

    def test_tombstone_stops_a_late_copy(self) -> None:
        instance = make_primary()
        state, _ = instance.look_up_ledger("q1", 1, True)
        self.assertEqual(LedgerState.TOMBSTONED, state)
        self.assertEqual(StatementStatus.TOMBSTONED, run(instance, INSERT, "q1").status)
        self.assertEqual(0, count_rows(instance))

    def test_sealed_primary_runs_no_write(self) -> None:
        instance = make_primary()
        instance.seal(5)
        self.assertEqual(StatementStatus.STALE_TERM, run(instance, INSERT).status)

    def test_read_may_not_write(self) -> None:
        instance = make_primary()
        reply = instance.execute(1, 0, "", INSERT, False, Boundary.AUTO)
        self.assertEqual(StatementStatus.FAILED, reply.status)
        self.assertEqual(0, count_rows(instance))

    def test_failed_write_leaves_nothing(self) -> None:
        instance = make_primary()
        both = make_payload(
            make_query("INSERT INTO t VALUES (1)"), make_query("INSERT INTO nope VALUES (1)")
        )
        self.assertEqual(StatementStatus.FAILED, run(instance, both, "q1").status)
        self.assertEqual(0, count_rows(instance))
        self.assertEqual(StatementStatus.DONE, run(instance, INSERT, "q1").status)

    def test_conflicting_transactions_do_not_both_commit(self) -> None:
        instance = make_primary()
        for connection in (1, 2):
            run(instance, b"", connection=connection, boundary=Boundary.BEGIN)
            run(instance, COUNT, connection=connection, boundary=Boundary.STEP)
            run(instance, INSERT, connection=connection, boundary=Boundary.STEP)
        first = run(instance, b"", "t1", connection=1, boundary=Boundary.COMMIT)
        second = run(instance, b"", "t2", connection=2, boundary=Boundary.COMMIT)
        self.assertEqual(StatementStatus.DONE, first.status)
        self.assertEqual(StatementStatus.FAILED, second.status)

    def test_replica_drops_its_diverging_tail(self) -> None:
        old, new = make_primary(), Instance("b", "b-1")
        new.follow(1, "a")
        new.append_entries(1, 0, list(old.log))
        run(old, INSERT, "lost")
        new.seal(2)
        new.promote(2)
        run(new, INSERT, "kept", term=2)
        old.follow(2, "b")
        keep = new.find_match_index(old.term_history)
        self.assertEqual(2, keep)
        old.append_entries(2, keep, new.log[keep:])
        self.assertEqual(new.log, old.log)
        self.assertEqual(1, count_rows(old))
        self.assertFalse(old.term_history.contains(Position(1, 3)))

    def test_member_that_lost_its_log_votes_again_in_a_later_term_only(self) -> None:
        primary, newcomer = make_primary(), Instance("b", "b-2", voting=False)
        newcomer.follow(1, "a")
        newcomer.append_entries(1, 0, list(primary.log))
        self.assertFalse(newcomer.voting)
        primary.seal(2)
        primary.promote(2)
        newcomer.follow(2, "a")
        newcomer.append_entries(2, 2, primary.log[2:])
        self.assertTrue(newcomer.voting)
        self.assertIs(Role.REPLICA, newcomer.role)


class PlatformTest(TestCase):
    def test_only_one_of_two_updates_of_a_version_wins(self) -> None:
        state = PlatformState()
        first = state.compare_and_set("preset", "p", 0, "x")
        assert first is not None
        self.assertIsNotNone(state.compare_and_set("preset", "p", first.version, "a"))
        self.assertIsNone(state.compare_and_set("preset", "p", first.version, "b"))
        self.assertEqual("a", state.objects["preset", "p"].body)
