"""Tests that the stand-ins have the properties that a proxy relies on in the real systems."""

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
    """Run a statement as a write."""
    return instance.execute(connection, term, ledger_id, payload, True, boundary)


def count_rows(instance: Instance) -> object:
    """Return the number of rows of the table."""
    reply = instance.execute(9, 0, "", COUNT, False, Boundary.AUTO)
    return read_rows(reply.result)[0][0][0]


class InstanceTest(TestCase):
    def test_repeated_request_gets_the_result_of_the_first_execution(self) -> None:
        instance = make_primary()
        first, second = run(instance, INSERT, "q1"), run(instance, INSERT, "q1")
        self.assertEqual(StatementStatus.DONE, first.status)
        self.assertEqual(StatementStatus.REPEATED, second.status)
        self.assertEqual((first.position, first.result), (second.position, second.result))
        self.assertEqual(1, count_rows(instance))

    def test_request_is_not_run_after_its_tombstone(self) -> None:
        instance = make_primary()
        state, _ = instance.look_up_ledger("q1", 1, True)
        self.assertEqual(LedgerState.TOMBSTONED, state)
        self.assertEqual(StatementStatus.TOMBSTONED, run(instance, INSERT, "q1").status)
        self.assertEqual(0, count_rows(instance))

    def test_write_is_rejected_as_stale_after_a_seal(self) -> None:
        instance = make_primary()
        instance.seal(5)
        self.assertEqual(StatementStatus.STALE_TERM, run(instance, INSERT).status)

    def test_write_sent_as_a_read_fails(self) -> None:
        instance = make_primary()
        reply = instance.execute(1, 0, "", INSERT, False, Boundary.AUTO)
        self.assertEqual(StatementStatus.FAILED, reply.status)
        self.assertEqual(0, count_rows(instance))

    def test_failed_write_changes_neither_data_nor_ledger(self) -> None:
        instance = make_primary()
        both = make_payload(
            make_query("INSERT INTO t VALUES (1)"), make_query("INSERT INTO nope VALUES (1)")
        )
        self.assertEqual(StatementStatus.FAILED, run(instance, both, "q1").status)
        self.assertEqual(0, count_rows(instance))
        self.assertEqual(StatementStatus.DONE, run(instance, INSERT, "q1").status)

    def test_second_of_two_conflicting_transactions_fails_at_commit(self) -> None:
        instance = make_primary()
        for connection in (1, 2):
            run(instance, b"", connection=connection, boundary=Boundary.BEGIN)
            run(instance, COUNT, connection=connection, boundary=Boundary.STEP)
            run(instance, INSERT, connection=connection, boundary=Boundary.STEP)
        first = run(instance, b"", "t1", connection=1, boundary=Boundary.COMMIT)
        second = run(instance, b"", "t2", connection=2, boundary=Boundary.COMMIT)
        self.assertEqual(StatementStatus.DONE, first.status)
        self.assertEqual(StatementStatus.FAILED, second.status)

    def test_replica_truncates_entries_that_the_new_primary_does_not_have(self) -> None:
        old_primary, new_primary = make_primary(), Instance("b", "b-1")
        new_primary.follow(1, "a")
        new_primary.append_entries(1, 0, list(old_primary.log))
        run(old_primary, INSERT, "lost")
        new_primary.seal(2)
        new_primary.promote(2)
        run(new_primary, INSERT, "kept", term=2)
        old_primary.follow(2, "b")
        keep_through = new_primary.find_match_index(old_primary.term_history)
        self.assertEqual(2, keep_through)
        old_primary.append_entries(2, keep_through, new_primary.log[keep_through:])
        self.assertEqual(new_primary.log, old_primary.log)
        self.assertEqual(1, count_rows(old_primary))
        self.assertFalse(old_primary.term_history.contains(Position(1, 3)))

    def test_instance_that_lost_its_log_votes_only_from_a_later_term(self) -> None:
        primary, rejoining = make_primary(), Instance("b", "b-2", voting=False)
        rejoining.follow(1, "a")
        rejoining.append_entries(1, 0, list(primary.log))
        self.assertFalse(rejoining.voting)
        primary.seal(2)
        primary.promote(2)
        rejoining.follow(2, "a")
        rejoining.append_entries(2, 2, primary.log[2:])
        self.assertTrue(rejoining.voting)
        self.assertIs(Role.REPLICA, rejoining.role)


class PlatformTest(TestCase):
    def test_second_update_of_the_same_version_is_refused(self) -> None:
        state = PlatformState()
        first = state.compare_and_set("preset", "p", 0, "x")
        assert first is not None
        self.assertIsNotNone(state.compare_and_set("preset", "p", first.version, "a"))
        self.assertIsNone(state.compare_and_set("preset", "p", first.version, "b"))
        self.assertEqual("a", state.objects["preset", "p"].body)
