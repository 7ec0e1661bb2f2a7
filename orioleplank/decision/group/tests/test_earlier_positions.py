"""A position of an earlier term is enough for a read, also after a promotion rolled entries back.

Any log that ends at or after the position contains every earlier commit that the promotion kept.
"""

from __future__ import annotations

from random import Random

import testtools

from orioleplank.decision import Position

TERM = 4
CASES = 3_000

# A log is the positions of its entries, oldest first.
Log = tuple[Position, ...]


class _Group:
    """Logs of a group around a random promotion."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self.primary_log = self._write((), TERM, 1 + random.randrange(12))
        self.replica_logs = [self._cut(self.primary_log) for _ in range(2)]
        # The old primary reported this position; commits up to it were acknowledged before.
        self.observed = random.choice(self.primary_log)

    def _write(self, log: Log, term: int, count: int) -> Log:
        first = len(log) + 1
        return log + tuple(Position(term, first + number) for number in range(count))

    def _cut(self, log: Log) -> Log:
        return log[: self._random.randrange(len(log) + 1)]

    def promote(self) -> tuple[Log, list[Log]]:
        """Promote a replica, which may lack entries; return its log, and all logs of the group."""
        promoted, other = self.replica_logs
        kept = promoted
        new_log = self._write(promoted, TERM + 1, self._random.randrange(4))
        # The other instances have not heard of it yet, were cut to its log, or follow it.
        old_logs = [self.primary_log, other, other[: _shared_length(other, kept)]]
        return kept, [new_log, self._cut_after(new_log, len(kept)), *old_logs]

    def _cut_after(self, log: Log, length: int) -> Log:
        return log[: length + self._random.randrange(len(log) - length + 1)]


def _shared_length(one: Log, other: Log) -> int:
    length = 0
    while length < min(len(one), len(other)) and one[length] == other[length]:
        length += 1
    return length


class TestPromotion(testtools.TestCase):
    def test_log_at_an_earlier_position_lacks_no_commit_that_was_kept(self) -> None:
        checked = 0
        for seed in range(CASES):
            group = _Group(Random(seed))
            kept, logs = group.promote()
            required = {position for position in kept if position <= group.observed}
            for log in logs:
                if log and log[-1] >= group.observed:
                    checked += 1
                    self.assertEqual(set(), required - set(log), f"seed {seed}")
        self.assertGreater(checked, CASES)

    def test_lower_position_would_lack_commits(self) -> None:
        """Shows that the model finds missing commits: an older position does not suffice."""
        missing = 0
        for seed in range(CASES):
            group = _Group(Random(seed))
            kept, logs = group.promote()
            required = {position for position in kept if position <= group.observed}
            lower = Position(TERM, group.observed.index - 1)
            missing += sum(1 for log in logs if log and log[-1] >= lower and required - set(log))
        self.assertGreater(missing, 0)
