"""Owners of one instance under load: arrivals, their queues, and the instance, on virtual time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Protocol

from msgspec import Struct, field

from orioleplank.decision.admission import (
    AdmissionRefused,
    ConcurrencyLimit,
    QueueLoad,
    StatementResult,
    decide_admission,
    update_mean_hold_time,
)

# Time from an arrival to its deadline, in seconds.
DEADLINE_S = 1.0
# One statement in a hundred takes this many times the work.
TAIL_SHARE, TAIL_FACTOR = 0.01, 5.0


class Clock:
    """Virtual time and the calls that are due."""

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def call_at(self, at: float, call: Callable[[], None]) -> None:
        """Make a call at a time, in seconds."""
        heappush(self._calls, (at, next(self._numbers), call))

    def run_until(self, end: float) -> None:
        """Make all calls that are due until a time, in seconds."""
        while self._calls and self._calls[0][0] <= end:
            self.now, _, call = heappop(self._calls)
            call()
        self.now = end


class Instance:
    """An instance that runs `slots` statements, queues `queue_length`, and is busy beyond."""

    def __init__(
        self,
        clock: Clock,
        random: Random,
        slots: int = 5,
        queue_length: int = 32,
        mean_work: float = 0.015,
        slowdown: Callable[[float, int], float] = lambda now, running: 1.0,
    ) -> None:
        self._clock = clock
        self._random = random
        self._slots = slots
        self._queue_length = queue_length
        self._mean_work = mean_work
        # Factor of the work at a time, in seconds, with this number running.
        self._slowdown = slowdown
        self._running = 0
        self._queue: deque[Callable[[], None]] = deque()

    def run(self, on_end: Callable[[bool], None]) -> None:
        """Run a statement; `on_end` is told whether it ran or the instance was busy."""
        if self._running < self._slots:
            self._start(on_end)
        elif len(self._queue) < self._queue_length:
            self._queue.append(lambda: self._start(on_end))
        else:
            on_end(False)

    def _start(self, on_end: Callable[[bool], None]) -> None:
        self._running += 1
        work = self._random.expovariate(1.0 / self._mean_work)
        if self._random.random() < TAIL_SHARE:
            work *= TAIL_FACTOR
        work *= self._slowdown(self._clock.now, self._running)

        def end() -> None:
            self._running -= 1
            on_end(True)
            if self._queue and self._running < self._slots:
                self._queue.popleft()()

        self._clock.call_at(self._clock.now + work, end)


class Outcomes(Struct):
    """What became of the statements of one owner."""

    # Time from arrival to answer of each served statement, and when it was served, in seconds.
    served: list[tuple[float, float]] = field(default_factory=list)
    refused: int = 0
    busy: int = 0
    # The limit at each end of a statement, with the time, in seconds.
    limits: list[tuple[float, int]] = field(default_factory=list)

    def throughput(self, since: float, until: float) -> float:
        """Return the statements served per second in a period."""
        return sum(since <= at < until for at, _ in self.served) / (until - since)

    def mean_limit(self, since: float, until: float) -> float:
        """Return the mean limit in a period."""
        limits = [limit for at, limit in self.limits if since <= at < until]
        return sum(limits) / len(limits)


class Owner:
    """A proxy with connections to the instance: it has a queue and, unless fixed, a limit."""

    def __init__(
        self, clock: Clock, instance: Instance, connections: int, slots: int, is_limited: bool
    ) -> None:
        self._clock = clock
        self._instance = instance
        self._connections = connections
        self._is_limited = is_limited
        self._limit = ConcurrencyLimit.begin(slots, clock.now)
        # Time of arrival of each waiting statement, in seconds, and the call at its end.
        self._queue: deque[tuple[float, Callable[[bool], None]]] = deque()
        self._running = 0
        self._mean_time = 0.03
        self.outcomes = Outcomes()

    @property
    def load(self) -> tuple[int, int, int, float]:
        """The numbers of waiting and running statements, the limit, and the expected wait."""
        waiting, limit = len(self._queue), self.usual
        has_room = not waiting and self._running < limit
        wait = 0.0 if has_room else QueueLoad(waiting, limit, self._mean_time).expected_wait
        return waiting, self._running, limit, wait

    @property
    def allowed(self) -> int:
        """The number of statements that may be in progress."""
        return (
            self._limit.allowed(self._connections, self._clock.now)
            if self._is_limited
            else self._connections
        )

    @property
    def usual(self) -> int:
        """The limit without its short reductions for measurements."""
        return self._limit.usual(self._connections) if self._is_limited else self._connections

    def arrive(self, on_end: Callable[[bool], None] = lambda _: None) -> None:
        """Take in a statement, or refuse it because it would wait for too long.

        `on_end` is told whether it ran.
        """
        load = QueueLoad(len(self._queue), self.usual, self._mean_time)
        has_room = self._running < self.allowed and not self._queue
        refusal = decide_admission(load.expected_wait, DEADLINE_S)
        if not has_room and isinstance(refusal, AdmissionRefused):
            self.outcomes.refused += 1
            on_end(False)
            return
        self._queue.append((self._clock.now, on_end))
        self._serve()

    def _serve(self) -> None:
        while self._queue and self._running < self.allowed:
            self._start(*self._queue.popleft())

    def _start(self, arrived_at: float, on_end: Callable[[bool], None]) -> None:
        self._running += 1
        started_at, was_alone = self._clock.now, self._running == 1
        self._limit = self._limit.start_statement(self._running, self._connections, started_at)

        def end(has_run: bool) -> None:
            now = self._clock.now
            self._running -= 1
            result = StatementResult.ANSWERED if has_run else StatementResult.OVERLOADED
            self._limit = self._limit.end_statement(
                result, now - started_at, was_alone, self._connections, now
            )
            self.outcomes.limits.append((now, self.usual))
            if has_run:
                self._mean_time = update_mean_hold_time(self._mean_time, now - started_at)
                self.outcomes.served.append((now, now - arrived_at))
            else:
                self.outcomes.busy += 1
            on_end(has_run)
            # A busy answer takes a round trip; without it the loop below would not end.
            self._clock.call_at(now + 0.001, self._serve)

        self._instance.run(end)


class Arrivals(Protocol):
    """Takes in the statements that arrive."""

    def arrive(self) -> None:
        """Take in a statement."""


def send_arrivals(
    clock: Clock, random: Random, owner: Arrivals, rate: Callable[[float], float], until: float
) -> None:
    """Let statements arrive at an owner at a rate per second that depends on the time."""

    def arrive() -> None:
        owner.arrive()
        schedule()

    def schedule() -> None:
        at = clock.now + random.expovariate(max(0.01, rate(clock.now)))
        if at < until:
            clock.call_at(at, arrive)

    schedule()


class Run(Struct):
    """A run of several owners at one instance."""

    owners: list[Owner]
    seconds: float

    def throughput(self, since: float, until: float) -> float:
        """Return the statements served per second by all owners in a period."""
        return sum(owner.outcomes.throughput(since, until) for owner in self.owners)

    def quantile(self, share: float, since: float) -> float:
        """Return a quantile of the times from arrival to answer, in seconds."""
        times = [
            seconds for owner in self.owners for at, seconds in owner.outcomes.served if at >= since
        ]
        return sorted(times)[int(share * len(times))]


def run_owners(
    rate: Callable[[float], float] | Sequence[Callable[[float], float]],
    seconds: float,
    is_limited: bool = True,
    owners: int = 2,
    seed: int = 1,
    connections: int = 18,
    slots: int = 5,
    queue_length: int = 32,
    mean_work: float = 0.015,
    slowdown: Callable[[float, int], float] = lambda now, running: 1.0,
) -> Run:
    """Run owners with a rate of arrivals each; return them with their outcomes.

    The rate may differ by owner.
    """
    clock, random = Clock(), Random(seed)
    instance = Instance(clock, Random(seed + 1), slots, queue_length, mean_work, slowdown)
    group = [Owner(clock, instance, connections, slots, is_limited) for _ in range(owners)]
    rates = (rate,) * owners if callable(rate) else rate
    for owner, own_rate in zip(group, rates, strict=True):
        send_arrivals(clock, random, owner, own_rate, seconds)
    clock.run_until(seconds)
    return Run(group, seconds)
