"""Safety mechanisms by name, so that tests can show what each one is needed for."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique


@unique
class Safeguard(Enum):
    """A mechanism that a test may switch off."""

    # Answers wait until what they show is on a majority.
    MAJORITY = "majority"
    # A reported position counts only with the term of its entry.
    ENTRY_TERM = "entry-term"
    # Instances without a whole log do not count.
    VOTING = "voting"
    # Reads of current data wait for a round begun after they arrived.
    CONFIRMATION = "confirmation"
    # Reads honour the session's token.
    SESSION = "session"
    # Reads that state an age are checked against rounds.
    AGE = "age"
    # Writes carry their id into the ledger.
    LEDGER = "ledger"
    # Outcomes are tombstoned before "not run" is said.
    TOMBSTONE = "tombstone"
    # Replies match on connection and statement.
    MATCHING = "matching"
    # A connection in doubt is closed.
    CLOSE_ON_DOUBT = "close-on-doubt"
    # A promotion seals a majority first.
    SEALING = "sealing"
    # A promotion takes the most advanced sealed instance.
    MOST_ADVANCED = "most-advanced"
    # Configuration versions only move up.
    VERSIONS = "versions"
    # Retries stay within a budget.
    RETRY_BUDGET = "retry-budget"
    # Leaving instances get no new work.
    LEAVING = "leaving"
    # Slots and connections are shared so that the sum keeps to an instance's limits.
    SLOTS = "slots"
    # A stopping proxy finishes what runs.
    GRACE = "grace"


@dataclass(frozen=True, slots=True)
class Safeguards:
    """Which mechanisms are in force: all but those switched off."""

    # Mechanisms switched off; empty outside tests.
    disabled: frozenset[Safeguard] = frozenset()

    def is_enabled(self, switch: Safeguard) -> bool:
        """Tell whether a mechanism is in force."""
        return switch not in self.disabled


ALL_SAFEGUARDS = Safeguards()
