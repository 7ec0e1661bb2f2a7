"""Limit on the statements that one proxy has in progress at one instance, learned from replies.

Load pattern: instances of one service differ in speed, some slow down long before all their slots
are used, some are slow for seconds or warm up, and an instance answers BUSY when several proxies
fill its queue. The limit rises by a constant while it is used and the latency stays near the
unloaded latency. It falls by a factor when the instance has no room, does not answer, or answers
well above the unloaded latency. Several proxies that do so at one instance converge to equal
shares.
"""

from __future__ import annotations

from enum import Enum, unique

from msgspec import Struct
from msgspec.structs import replace

# Shortest duration of a window, in seconds, and least number of its samples. The duration is the
# same for all proxies, so that one with more statements does not raise its limit more often.
WINDOW_S = 0.25
WINDOW_SAMPLES = 25
# A window without enough samples ends after this time, in seconds; it is evaluated if it has half
# of them.
MAX_WINDOW_S = 2.0
# Weight of the newest window in the short-term latency: single windows vary by about 20%.
WINDOW_WEIGHT = 0.5
# Above this multiple of the unloaded latency the limit falls in proportion. Each of two proxies at
# one instance measures the queue of the other one as part of the unloaded latency; with 1.8 or more
# they raise each other's limits up to the number of their connections.
TOLERATED_RATIO = 1.5
# Each window also raises a limit that is used by this much. A small limit gains more by it, in
# proportion, than a large one, so that several proxies converge to equal limits. It keeps two
# limits at an instance of constant speed above its slots, so that none of them is left idle.
RISE = 1.5
# Factors of one decrease: the smallest one for a high latency, and the one for BUSY or no answer.
MIN_LATENCY_FACTOR = 0.5
FAILURE_FACTOR = 0.7
# After such a failure the limit does not rise for this time, in seconds. The latency of the answers
# shows nothing of a short queue that other proxies fill.
FAILURE_HOLD_S = 1.0
# The unloaded latency is updated with the mean of this many samples, and this is the mean's weight.
UNLOADED_SAMPLES = 16
UNLOADED_WEIGHT = 0.3
# Weight of that mean when the unloaded latency is out of date.
RELEARN_WEIGHT = 0.5
# Weight of a higher mean while the limit is not below the slots: other proxies load the instance
# too, and would otherwise raise what counts as unloaded, and so the limits of all, step by step.
CAUTIOUS_WEIGHT = 0.05
# A window whose mean is below this multiple of the unloaded latency shows that the unloaded latency
# is out of date.
CLEARLY_FASTER = 0.7
# After this time without an unloaded sample, in seconds, the unloaded latency is out of date. If
# the limit is used, it is reduced to one statement for the next `UNLOADED_SAMPLES`, or for at most
# `MAX_MEASURING_S`. The time is shorter while the limit is below the slots: if an instance became
# slow for another reason than its load, the old latency would keep its limit too low.
UNLOADED_VALID_S = 20.0
UNLOADED_VALID_BELOW_SLOTS_S = 3.0
MAX_MEASURING_S = 0.15
# An unused limit returns halfway to the slots of the instance in this time, in seconds.
FORGET_HALF_LIFE_S = 10.0


@unique
class StatementResult(Enum):
    """What the end of a statement shows about its instance."""

    # It was answered after its work was done; the latency is a sample.
    ANSWERED = "answered"
    # The instance had no room, did not answer in time, or the connection broke.
    OVERLOADED = "overloaded"
    # It shows nothing: it failed without its work being done, or it was abandoned here.
    NO_SAMPLE = "no sample"


class Samples(Struct, frozen=True):
    """Latency samples of one period."""

    # When the period began, in seconds.
    since: float
    count: int = 0
    # Sum of the latencies, in seconds.
    total: float = 0.0

    def add(self, latency: float) -> Samples:
        """Return the samples with one more, `latency` in seconds."""
        return replace(self, count=self.count + 1, total=self.total + latency)

    @property
    def mean(self) -> float:
        """Mean latency, in seconds."""
        return self.total / self.count


class ConcurrencyLimit(Struct, frozen=True):
    """The limit for one incarnation of an instance, and what it is learned from.

    All times are in seconds of one clock.
    """

    # Number of statements that the instance runs concurrently; the first limit.
    slots: int
    # Start of the present window, and its samples.
    window: Samples
    # Samples of statements that ran alone and are not part of the unloaded latency yet.
    unloaded: Samples
    # Number of statements, before it is rounded down.
    value: float
    # Latency of recent windows; 0 before the first one.
    short_latency: float = 0.0
    # Latency without load; 0 while it is not known.
    unloaded_latency: float = 0.0
    # When the unloaded latency was last updated with samples of statements that ran alone.
    unloaded_at: float = float("-inf")
    # When the present measurement of the unloaded latency began; None outside of one.
    measuring_since: float | None = None
    # Until when no failure decreases the limit again: several statements fail of one cause.
    decreased_until: float = float("-inf")
    # From when the limit may rise again after a failure.
    rises_from: float = float("-inf")
    # True if the limit was reached in the present window.
    was_reached: bool = False
    # When the limit was last reached or changed, or returned towards the slots.
    used_at: float = 0.0

    @classmethod
    def begin(cls, slots: int, now: float) -> ConcurrencyLimit:
        """Return the limit of an instance of which nothing is known but its slots."""
        slots = max(1, slots)
        samples = Samples(now)
        return cls(slots, samples, samples, float(slots), used_at=now)

    def allowed(self, ceiling: int, now: float) -> int:
        """Return how many statements may be in progress now, at most `ceiling`."""
        return 1 if self._is_measuring(now) else self.usual(ceiling)

    def usual(self, ceiling: int) -> int:
        """Return the limit without its short reductions for measurements."""
        return max(1, min(int(self.value), ceiling))

    def start_statement(self, running: int, ceiling: int, now: float) -> ConcurrencyLimit:
        """Return the limit after a statement has started.

        `running` is the number of statements in progress with it, and `ceiling` the number of
        connections.
        """
        forgotten = self._forget(now)
        if running < forgotten.allowed(ceiling, now):
            return forgotten
        reached = replace(forgotten, was_reached=True, used_at=now)
        return reached._begin_measuring(ceiling, now)

    def end_statement(
        self, result: StatementResult, latency: float, was_alone: bool, ceiling: int, now: float
    ) -> ConcurrencyLimit:
        """Return the limit after a statement has ended.

        `latency` is the time from its start to its end in seconds; `was_alone` is true if no other
        statement was in progress when it started; `ceiling` is the number of connections.
        """
        changed = self
        match result:
            case StatementResult.ANSWERED:
                changed = changed._add_sample(latency, was_alone, now)
            case StatementResult.OVERLOADED:
                changed = changed._decrease_after_failure(ceiling, now)
            case StatementResult.NO_SAMPLE:
                pass
        return changed._end_measuring(now)._end_window(ceiling, now)

    # Unloaded latency.

    def _add_sample(self, latency: float, was_alone: bool, now: float) -> ConcurrencyLimit:
        changed = replace(self, window=self.window.add(latency))
        if not was_alone:
            return changed
        unloaded = self.unloaded.add(latency)
        if unloaded.count < UNLOADED_SAMPLES:
            return replace(changed, unloaded=unloaded)
        return replace(
            changed,
            unloaded=Samples(now),
            unloaded_latency=self._blend_unloaded(unloaded.mean, now),
            unloaded_at=now,
            measuring_since=None,
        )

    def _blend_unloaded(self, latency: float, now: float) -> float:
        """Return the unloaded latency after samples with this mean."""
        if not self.unloaded_latency:
            return latency
        difference = latency - self.unloaded_latency
        return self.unloaded_latency + difference * self._unloaded_weight(difference, now)

    def _unloaded_weight(self, difference: float, now: float) -> float:
        if difference < 0 and self.unloaded_at == float("-inf"):
            return 1.0
        if difference > 0 and not self._is_below_slots:
            return CAUTIOUS_WEIGHT
        return RELEARN_WEIGHT if self._is_outdated(now) else UNLOADED_WEIGHT

    @property
    def _is_below_slots(self) -> bool:
        return int(self.value) < self.slots

    def _is_outdated(self, now: float) -> bool:
        valid_s = UNLOADED_VALID_BELOW_SLOTS_S if self._is_below_slots else UNLOADED_VALID_S
        return now - self.unloaded_at > valid_s

    def _is_measuring(self, now: float) -> bool:
        return self.measuring_since is not None and now - self.measuring_since < MAX_MEASURING_S

    def _begin_measuring(self, ceiling: int, now: float) -> ConcurrencyLimit:
        """Measure the unloaded latency if it is out of date; only called while the limit is used.

        Before the first window there is nothing that a measurement could correct, and while the
        connections are the limit nothing that it could change.
        """
        if self.measuring_since is not None or not self.unloaded_latency:
            return self
        if self.value >= ceiling:
            return self
        if not self._is_outdated(now):
            return self
        return replace(self, measuring_since=now, unloaded=Samples(now))

    def _end_measuring(self, now: float) -> ConcurrencyLimit:
        """End a measurement that takes too long; the next one is due as after a complete one.

        The samples so far are used, so that a slow instance is not judged by an old latency.
        """
        if self.measuring_since is None or self._is_measuring(now):
            return self
        latency = self.unloaded_latency
        if self.unloaded.count:
            latency = self._blend_unloaded(self.unloaded.mean, now)
        return replace(
            self,
            measuring_since=None,
            unloaded=Samples(now),
            unloaded_latency=latency,
            unloaded_at=now,
        )

    # Windows.

    def _end_window(self, ceiling: int, now: float) -> ConcurrencyLimit:
        duration = now - self.window.since
        if duration < WINDOW_S:
            return self
        if self.window.count < WINDOW_SAMPLES and duration < MAX_WINDOW_S:
            return self
        next_window = replace(self, window=Samples(now), was_reached=False)
        if self.window.count * 2 < WINDOW_SAMPLES or self.measuring_since is not None:
            return next_window
        mean = self.window.mean
        short = self.short_latency + (mean - self.short_latency) * WINDOW_WEIGHT
        evaluated = replace(next_window, short_latency=short if self.short_latency else mean)
        return evaluated._learn_from_window(mean)._adjust(self.was_reached, ceiling, now)

    def _learn_from_window(self, mean: float) -> ConcurrencyLimit:
        """Update the unloaded latency with the first window, or with a clearly faster one."""
        if not self.unloaded_latency:
            return replace(self, unloaded_latency=mean)
        if mean >= self.unloaded_latency * CLEARLY_FASTER:
            return self
        latency = self.unloaded_latency + (mean - self.unloaded_latency) * RELEARN_WEIGHT
        return replace(self, unloaded_latency=latency)

    def _adjust(self, was_reached: bool, ceiling: int, now: float) -> ConcurrencyLimit:
        ratio = self.short_latency / self.unloaded_latency
        factor = min(1.0, max(MIN_LATENCY_FACTOR, TOLERATED_RATIO / ratio))
        value = self.value * factor + (RISE if was_reached else 0.0)
        # The hold after a failure prevents a rise. It does not make a high latency count more than
        # without the failure, which left slots idle: both took a limit of 5 down to 1.
        if now < self.rises_from:
            value = min(value, self.value)
        if value == self.value:
            return self
        return replace(self, value=_clamp(value, ceiling), used_at=now)

    def _decrease_after_failure(self, ceiling: int, now: float) -> ConcurrencyLimit:
        if now < self.decreased_until:
            return self
        value = _clamp(_clamp(self.value, ceiling) * FAILURE_FACTOR, ceiling)
        return replace(
            self,
            value=value,
            decreased_until=now + WINDOW_S,
            rises_from=now + FAILURE_HOLD_S,
            used_at=now,
        )

    # Forgetting.

    def _forget(self, now: float) -> ConcurrencyLimit:
        """Return towards the slots while the limit is not used."""
        idle = now - self.used_at
        if idle < WINDOW_S:
            return self
        remaining = 0.5 ** (idle / FORGET_HALF_LIFE_S)
        difference = (self.value - self.slots) * remaining
        # A difference of up to a half is dropped: the limit is rounded down, and would otherwise
        # stay one below the slots.
        value = self.slots + (difference if abs(difference) > 0.5 else 0.0)
        return replace(self, value=value, used_at=now)


def _clamp(value: float, ceiling: int) -> float:
    return max(1.0, min(value, float(ceiling)))
