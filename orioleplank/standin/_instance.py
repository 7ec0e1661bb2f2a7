"""One instance of a group, without sockets: a log with terms, a role, a database."""

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

STARTS_KEPT = 32


@dataclass(frozen=True, slots=True)
class Entry:
    """One log entry."""

    # Where it stands.
    position: Position
    # Ledger id of the request; empty for none.
    ledger_id: str = ""
    # True for a tombstone.
    tombstone: bool = False
    # Payloads run in its transaction.
    payloads: tuple[bytes, ...] = ()
    # True for a transaction of a caller, whose commit returns nothing.
    transaction: bool = False


@dataclass(frozen=True, slots=True)
class StatementResult:
    """How a statement ended."""

    # Its status.
    status: StatementStatus
    # Position of its entry, or the position its data shows.
    position: Position
    # What it returned.
    result: bytes = b""
    # One sentence on a failure.
    detail: str = ""


@dataclass(slots=True)
class OpenTransaction:
    """A transaction on one connection."""

    # Payloads run so far.
    payloads: list[bytes]
    # What they returned.
    shown: list[bytes]
    # Term in which it began.
    term: int


class Instance:
    """The log, role and data of one instance."""

    def __init__(self, name: str, incarnation: str, voting: bool = True) -> None:
        self.name = name
        self.incarnation = incarnation
        self.term = 0
        self.role = Role.SEALED
        self.following = ""
        self.leaving = False
        self.voting = voting
        self._joined_term = 0
        self.log: list[Entry] = []
        self._starts: list[TermStart] = []
        self._database = Database()
        self._transactions: dict[int, OpenTransaction] = {}

    @property
    def last_position(self) -> Position:
        """The last entry's position."""
        return self.log[-1].position if self.log else Position(0, 0)

    @property
    def term_history(self) -> TermHistory:
        """The log's last position and its terms."""
        return TermHistory(self.last_position, tuple(self._starts[-STARTS_KEPT:]))

    def report(self, primary_silence: float = 0.0) -> Report:
        """Return what the instance says of itself."""
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

    # Group orders.

    def seal(self, term: int) -> bool:
        """Take part in no lower term any more; tell whether it was granted."""
        if term == self.term and self.role is Role.SEALED:
            return True
        if term <= self.term:
            return False
        self.term = term
        self.role = Role.SEALED
        self.following = ""
        return True

    def promote(self, term: int) -> bool:
        """Become the primary of `term`, and write its first entry at once."""
        if term == self.term and self.role is Role.PRIMARY:
            return True
        if term != self.term or self.role is not Role.SEALED:
            return False
        self.role = Role.PRIMARY
        self.following = ""
        self._append("", False, ())
        return True

    def promote_unsealed(self, term: int) -> bool:
        """Become the primary without having been sealed; tests use it to break a promotion."""
        self.seal(term)
        return self.promote(term)

    def follow(self, term: int, primary: str) -> bool:
        """Become a replica of `primary` in `term`."""
        if term < self.term or (term == self.term and self.role is Role.PRIMARY):
            return False
        self.term = term
        self.role = Role.REPLICA
        self.following = primary
        self._joined_term = self._joined_term or term
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
        """Run one statement."""
        if (write or term or boundary is not Boundary.AUTO) and not self._leads(term):
            self._transactions.pop(connection, None)
            return self._not_run(StatementStatus.STALE_TERM)
        try:
            return self._execute(connection, ledger_id, payload, write, boundary)
        except StatementError as error:
            self._transactions.pop(connection, None)
            return StatementResult(StatementStatus.FAILED, self.last_position, detail=str(error))

    def _leads(self, term: int) -> bool:
        return self.role is Role.PRIMARY and term == self.term

    def _not_run(self, status: StatementStatus) -> StatementResult:
        return StatementResult(status, self.last_position)

    def _execute(
        self, connection: int, ledger_id: str, payload: bytes, write: bool, boundary: Boundary
    ) -> StatementResult:
        match boundary:
            case Boundary.AUTO if connection in self._transactions:
                return self._step(self._transaction(connection), payload)
            case Boundary.AUTO if write:
                return self._commit([payload], None, ledger_id)
            case Boundary.AUTO:
                return self._done(self._database.read(payload))
            case Boundary.BEGIN:
                self._transactions[connection] = OpenTransaction([], [], self.term)
                return self._done(b"")
            case Boundary.STEP:
                return self._step(self._transaction(connection), payload)
            case Boundary.COMMIT:
                opened = self._transaction(connection)
                del self._transactions[connection]
                return self._commit(opened.payloads, opened.shown, ledger_id)
            case Boundary.ROLLBACK:
                self._transactions.pop(connection, None)
                return self._done(b"")

    def _transaction(self, connection: int) -> OpenTransaction:
        opened = self._transactions.get(connection)
        if opened is None or opened.term != self.term:
            raise StatementError("no transaction is open on this connection")
        return opened

    def _step(self, opened: OpenTransaction, payload: bytes) -> StatementResult:
        results = self._database.dry_run([*opened.payloads, payload])
        opened.payloads.append(payload)
        opened.shown = results
        return self._done(results[-1])

    def _done(self, result: bytes) -> StatementResult:
        return StatementResult(StatementStatus.DONE, self.last_position, result)

    def _commit(
        self, payloads: list[bytes], shown: list[bytes] | None, ledger_id: str
    ) -> StatementResult:
        earlier = self._database.find_ledger_row(ledger_id) if ledger_id else None
        if earlier is not None:
            status = StatementStatus.TOMBSTONED if earlier.tombstone else StatementStatus.REPEATED
            position = self.log[earlier.index - 1].position
            return StatementResult(status, position, earlier.result)
        results = self._database.write(payloads, shown, ledger_id, len(self.log) + 1)
        self._append(ledger_id, False, tuple(payloads), shown is not None)
        result = results[-1] if shown is None and results else b""
        return self._done(result)

    def _append(
        self,
        ledger_id: str,
        tombstone: bool,
        payloads: tuple[bytes, ...],
        transaction: bool = False,
    ) -> None:
        position = Position(self.term, len(self.log) + 1)
        self._note_start(position)
        self.log.append(Entry(position, ledger_id, tombstone, payloads, transaction))

    def _note_start(self, position: Position) -> None:
        if not self._starts or self._starts[-1].term != position.term:
            self._starts.append(TermStart(position.term, position.index))

    def close_connection(self, connection: int) -> None:
        """Roll back what is open on a connection."""
        self._transactions.pop(connection, None)

    # The ledger.

    def look_up_ledger(
        self, ledger_id: str, term: int, tombstone: bool
    ) -> tuple[LedgerState, Entry]:
        """Return what the ledger holds under an id, tombstoning it first when asked to."""
        nothing = Entry(self.last_position)
        if not self._leads(term):
            return LedgerState.STALE_TERM, nothing
        found = self._database.find_ledger_row(ledger_id)
        if found is not None:
            state = LedgerState.TOMBSTONED if found.tombstone else LedgerState.FOUND
            return state, self.log[found.index - 1]
        if not tombstone:
            return LedgerState.ABSENT, nothing
        self._database.write_tombstone(ledger_id, len(self.log) + 1)
        self._append(ledger_id, True, ())
        return LedgerState.TOMBSTONED, self.log[-1]

    def ledger_outcome(self, ledger_id: str) -> bytes:
        """Return the first outcome under an id, empty when there is none."""
        found = self._database.find_ledger_row(ledger_id)
        return found.result if found else b""

    # Replication.

    def find_match_index(self, replica: TermHistory) -> int:
        """Return the index up to which a replica's log agrees with this one."""
        following = replica.last.index + 1
        own = {start.term: index for index, start in enumerate(self._starts)}
        for start in reversed(replica.starts):
            place = own.get(start.term)
            if place is not None and self._starts[place].first_index == start.first_index:
                return min(following - 1, self._end_of(place))
            following = start.first_index
        return 0

    def _end_of(self, place: int) -> int:
        if place + 1 < len(self._starts):
            return self._starts[place + 1].first_index - 1
        return len(self.log)

    def append_entries(self, term: int, keep_through: int, entries: list[Entry]) -> bool:
        """Take entries from the primary of `term`; tell whether they were taken."""
        if term != self.term or self.role is not Role.REPLICA:
            return False
        if keep_through < len(self.log):
            self._truncate(keep_through)
        for entry in entries:
            if entry.position.index == len(self.log) + 1:
                self._replay(entry)
        self._vote_again()
        return True

    def _vote_again(self) -> None:
        """Count towards a majority again, in a term begun since the log was lost."""
        if self.term > self._joined_term and self.last_position.term == self.term:
            self.voting = True

    def _truncate(self, keep_through: int) -> None:
        kept = self.log[:keep_through]
        self.log = []
        self._starts = []
        self._database.close()
        self._database = Database()
        for entry in kept:
            self._replay(entry)

    def _replay(self, entry: Entry) -> None:
        if entry.tombstone:
            self._database.write_tombstone(entry.ledger_id, entry.position.index)
        elif entry.payloads or entry.ledger_id:
            self._replay_payloads(entry)
        self._note_start(entry.position)
        self.log.append(entry)

    def _replay_payloads(self, entry: Entry) -> None:
        results = self._database.write(list(entry.payloads), None, "", entry.position.index)
        if entry.ledger_id:
            result = b"" if entry.transaction or not results else results[-1]
            self._database.insert_outcome(entry.ledger_id, result, entry.position.index)
