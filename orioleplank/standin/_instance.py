"""One instance of a group without network I/O: a log with terms, a role and a database."""

from __future__ import annotations

from dataclasses import dataclass

from orioleplank.decision.quorum import (
    Boundary,
    LedgerState,
    Position,
    Report,
    Role,
    StatementStatus,
    TermHistory,
    TermStart,
)
from orioleplank.standin._database import Database, StatementError

# Maximum number of term starts in a reported term history; the earliest are omitted.
MAX_REPORTED_TERM_STARTS = 32


@dataclass(frozen=True, slots=True)
class Entry:
    """One log entry."""

    position: Position
    # Ledger id of the request; empty when the entry writes no ledger row.
    ledger_id: str = ""
    tombstone: bool = False
    # Payloads that run in one transaction.
    payloads: tuple[bytes, ...] = ()
    # True for an interactive transaction, whose commit returns no result.
    transaction: bool = False


@dataclass(frozen=True, slots=True)
class StatementResult:
    """Status, position and result of a statement."""

    status: StatementStatus
    # Position of the entry that it or its first execution wrote; else the last log position.
    position: Position
    result: bytes = b""
    # Error message; empty on success.
    detail: str = ""


@dataclass(slots=True)
class OpenTransaction:
    """An interactive transaction that is open on one connection."""

    # Payloads that have run, and their results in the same order.
    payloads: list[bytes]
    returned_results: list[bytes]
    # Term in which it began; it cannot continue in another term.
    term: int


class Instance:
    """The log, role and data of one instance.

    An instance with `voting` False has lost its log; it counts towards majorities again in a term
    that begins after it has rejoined the group.
    """

    def __init__(self, name: str, incarnation: str, voting: bool = True) -> None:
        self.name = name
        self.incarnation = incarnation
        self.term = 0
        self.role = Role.SEALED
        self.following = ""
        self.leaving = False
        self.voting = voting
        self._joined_at_term = 0
        self.log: list[Entry] = []
        self._term_starts: list[TermStart] = []
        self._database = Database()
        self._transactions: dict[int, OpenTransaction] = {}

    @property
    def last_position(self) -> Position:
        """The position of the last log entry; (0, 0) for an empty log."""
        return self.log[-1].position if self.log else Position(0, 0)

    @property
    def term_history(self) -> TermHistory:
        """The last log position and the start index of recent terms."""
        return TermHistory(self.last_position, tuple(self._term_starts[-MAX_REPORTED_TERM_STARTS:]))

    def report(self, primary_silence: float = 0.0) -> Report:
        """Return a status report of the instance.

        `primary_silence` is the time since a replica last heard from its primary, in seconds.
        """
        silence = 0.0 if self.role is Role.PRIMARY else primary_silence
        return Report(
            self.name,
            self.term,
            self.role,
            self.term_history,
            self.leaving,
            self.voting,
            silence,
            self.following,
            self.incarnation,
        )

    # Role changes.

    def seal(self, term: int) -> bool:
        """Stop taking part in terms below `term`; return True when the seal is granted."""
        if term == self.term and self.role is Role.SEALED:
            return True
        if term <= self.term:
            return False
        self.term = term
        self.role = Role.SEALED
        self.following = ""
        return True

    def promote(self, term: int) -> bool:
        """Become the primary of `term` and write its first entry; return whether it was granted.

        Only an instance that is sealed at exactly `term` can be promoted.
        """
        if term == self.term and self.role is Role.PRIMARY:
            return True
        if term != self.term or self.role is not Role.SEALED:
            return False
        self.role = Role.PRIMARY
        self.following = ""
        self._append("", False, ())
        return True

    def promote_unsealed(self, term: int) -> bool:
        """Seal and promote the instance at once; tests use it to simulate a faulty promotion."""
        self.seal(term)
        return self.promote(term)

    def follow(self, term: int, primary: str) -> bool:
        """Become a replica of `primary` in `term`; return False when the term is too old."""
        if term < self.term or (term == self.term and self.role is Role.PRIMARY):
            return False
        self.term = term
        self.role = Role.REPLICA
        self.following = primary
        self._joined_at_term = self._joined_at_term or term
        return True

    # Statements.

    def execute(
        self,
        connection: int,
        term: int,
        ledger_id: str,
        payload: bytes,
        write: bool,
        boundary: Boundary,
    ) -> StatementResult:
        """Run one statement on a connection.

        Writes, statements with a term, and transaction steps run only on the primary of `term`;
        otherwise the status is `STALE_TERM`.
        """
        if (write or term or boundary is not Boundary.AUTO) and not self._is_primary_of(term):
            self._transactions.pop(connection, None)
            return self._build_rejection(StatementStatus.STALE_TERM)
        try:
            return self._execute(connection, ledger_id, payload, write, boundary)
        except StatementError as error:
            self._transactions.pop(connection, None)
            return StatementResult(StatementStatus.FAILED, self.last_position, detail=str(error))

    def _is_primary_of(self, term: int) -> bool:
        return self.role is Role.PRIMARY and term == self.term

    def _build_rejection(self, status: StatementStatus) -> StatementResult:
        return StatementResult(status, self.last_position)

    def _execute(
        self, connection: int, ledger_id: str, payload: bytes, write: bool, boundary: Boundary
    ) -> StatementResult:
        match boundary:
            case Boundary.AUTO if connection in self._transactions:
                return self._run_step(self._get_transaction(connection), payload)
            case Boundary.AUTO if write:
                return self._commit([payload], None, ledger_id)
            case Boundary.AUTO:
                return self._build_success(self._database.read(payload))
            case Boundary.BEGIN:
                self._transactions[connection] = OpenTransaction([], [], self.term)
                return self._build_success(b"")
            case Boundary.STEP:
                return self._run_step(self._get_transaction(connection), payload)
            case Boundary.COMMIT:
                open_transaction = self._get_transaction(connection)
                del self._transactions[connection]
                return self._commit(
                    open_transaction.payloads, open_transaction.returned_results, ledger_id
                )
            case Boundary.ROLLBACK:
                self._transactions.pop(connection, None)
                return self._build_success(b"")

    def _get_transaction(self, connection: int) -> OpenTransaction:
        open_transaction = self._transactions.get(connection)
        if open_transaction is None or open_transaction.term != self.term:
            raise StatementError("no transaction is open on this connection")
        return open_transaction

    def _run_step(self, open_transaction: OpenTransaction, payload: bytes) -> StatementResult:
        results = self._database.dry_run([*open_transaction.payloads, payload])
        open_transaction.payloads.append(payload)
        open_transaction.returned_results = results
        return self._build_success(results[-1])

    def _build_success(self, result: bytes) -> StatementResult:
        return StatementResult(StatementStatus.DONE, self.last_position, result)

    def _commit(
        self, payloads: list[bytes], expected_results: list[bytes] | None, ledger_id: str
    ) -> StatementResult:
        existing_row = self._database.find_ledger_row(ledger_id) if ledger_id else None
        if existing_row is not None:
            status = (
                StatementStatus.TOMBSTONED if existing_row.tombstone else StatementStatus.REPEATED
            )
            position = self.log[existing_row.index - 1].position
            return StatementResult(status, position, existing_row.result)
        results = self._database.write(payloads, expected_results, ledger_id, len(self.log) + 1)
        self._append(ledger_id, False, tuple(payloads), expected_results is not None)
        result = results[-1] if expected_results is None and results else b""
        return self._build_success(result)

    def _append(
        self,
        ledger_id: str,
        tombstone: bool,
        payloads: tuple[bytes, ...],
        transaction: bool = False,
    ) -> None:
        position = Position(self.term, len(self.log) + 1)
        self._record_term_start(position)
        self.log.append(Entry(position, ledger_id, tombstone, payloads, transaction))

    def _record_term_start(self, position: Position) -> None:
        if not self._term_starts or self._term_starts[-1].term != position.term:
            self._term_starts.append(TermStart(position.term, position.index))

    def close_connection(self, connection: int) -> None:
        """Roll back the open transaction of a connection, if any."""
        self._transactions.pop(connection, None)

    # The ledger.

    def look_up_ledger(
        self, ledger_id: str, term: int, tombstone: bool
    ) -> tuple[LedgerState, Entry]:
        """Return the ledger state of an id and its log entry.

        With `tombstone`, an absent id gets a tombstone first. Without an entry for the id, the
        returned entry has only the last log position.
        """
        no_entry = Entry(self.last_position)
        if not self._is_primary_of(term):
            return LedgerState.STALE_TERM, no_entry
        row = self._database.find_ledger_row(ledger_id)
        if row is not None:
            state = LedgerState.TOMBSTONED if row.tombstone else LedgerState.FOUND
            return state, self.log[row.index - 1]
        if not tombstone:
            return LedgerState.ABSENT, no_entry
        self._database.write_tombstone(ledger_id, len(self.log) + 1)
        self._append(ledger_id, True, ())
        return LedgerState.TOMBSTONED, self.log[-1]

    def ledger_outcome(self, ledger_id: str) -> bytes:
        """Return the result of the first execution under an id; empty when there is none."""
        row = self._database.find_ledger_row(ledger_id)
        return row.result if row else b""

    # Replication.

    def find_match_index(self, replica: TermHistory) -> int:
        """Return the last index up to which a replica's log equals this one; 0 for none."""
        next_term_index = replica.last.index + 1
        own_starts = {start.term: index for index, start in enumerate(self._term_starts)}
        for start in reversed(replica.starts):
            own_number = own_starts.get(start.term)
            if (
                own_number is not None
                and self._term_starts[own_number].first_index == start.first_index
            ):
                return min(next_term_index - 1, self._last_index_of_term(own_number))
            next_term_index = start.first_index
        return 0

    def _last_index_of_term(self, number: int) -> int:
        if number + 1 < len(self._term_starts):
            return self._term_starts[number + 1].first_index - 1
        return len(self.log)

    def append_entries(self, term: int, keep_through: int, entries: list[Entry]) -> bool:
        """Truncate the log after `keep_through` and append entries from the primary of `term`.

        Return False when this instance is not a replica in `term`.
        """
        if term != self.term or self.role is not Role.REPLICA:
            return False
        if keep_through < len(self.log):
            self._truncate(keep_through)
        for entry in entries:
            if entry.position.index == len(self.log) + 1:
                self._replay(entry)
        self._restore_voting()
        return True

    def _restore_voting(self) -> None:
        """Allow voting once the log reaches a term that began after the instance rejoined."""
        if self.term > self._joined_at_term and self.last_position.term == self.term:
            self.voting = True

    def _truncate(self, keep_through: int) -> None:
        kept_entries = self.log[:keep_through]
        self.log = []
        self._term_starts = []
        self._database.close()
        self._database = Database()
        for entry in kept_entries:
            self._replay(entry)

    def _replay(self, entry: Entry) -> None:
        if entry.tombstone:
            self._database.write_tombstone(entry.ledger_id, entry.position.index)
        elif entry.payloads or entry.ledger_id:
            self._replay_payloads(entry)
        self._record_term_start(entry.position)
        self.log.append(entry)

    def _replay_payloads(self, entry: Entry) -> None:
        results = self._database.write(list(entry.payloads), None, "", entry.position.index)
        if entry.ledger_id:
            result = b"" if entry.transaction or not results else results[-1]
            self._database.insert_outcome(entry.ledger_id, result, entry.position.index)
