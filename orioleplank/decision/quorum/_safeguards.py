"""Safety mechanisms that tests can disable one at a time.

A test thereby shows which failures each mechanism prevents.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique


@unique
class Safeguard(Enum):
    """A safety mechanism that a test can disable."""

    # Replies are held until the data they contain is on a majority.
    MAJORITY = "majority"
    # A reported position counts only for the term of its entry.
    ENTRY_TERM = "entry-term"
    # Instances that have lost their log do not count towards a majority.
    VOTING = "voting"
    # Reads of current data wait for a confirmed round that was sent after their arrival.
    CONFIRMATION = "confirmation"
    # Reads reflect at least the log position in the session token.
    SESSION = "session"
    # The age of data is checked by probe rounds for reads with a maximum age.
    AGE = "age"
    # Writes record their request id in the ledger.
    LEDGER = "ledger"
    # A request id is tombstoned before the request is reported as not executed.
    TOMBSTONE = "tombstone"
    # Replies are matched to requests by connection and statement number.
    MATCHING = "matching"
    # A connection is closed when it is unknown whether its statement still runs.
    CLOSE_ON_DOUBT = "close-on-doubt"
    # A majority is sealed before a promotion.
    SEALING = "sealing"
    # The sealed instance with the most advanced log is promoted.
    MOST_ADVANCED = "most-advanced"
    # Configuration versions never decrease.
    VERSIONS = "versions"
    # The number of retries is limited by a budget.
    RETRY_BUDGET = "retry-budget"
    # Leaving instances receive no new work.
    LEAVING = "leaving"
    # Slots and connections are divided among the proxies within each instance's limits.
    SLOTS = "slots"
    # A proxy that is shutting down completes the requests in progress.
    GRACE = "grace"


@dataclass(frozen=True, slots=True)
class Safeguards:
    """The set of enabled safety mechanisms."""

    # Disabled mechanisms; empty outside tests.
    disabled: frozenset[Safeguard] = frozenset()

    def is_enabled(self, safeguard: Safeguard) -> bool:
        """Return whether a mechanism is enabled."""
        return safeguard not in self.disabled


ALL_SAFEGUARDS = Safeguards()
