"""Reads of many senders at instances of one service, placed by the owners' load reports."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import testtools

from orioleplank.decision import Position
from orioleplank.decision.admission.tests._simulated_load import (
    Clock,
    Instance,
    Owner,
    send_arrivals,
)
from orioleplank.decision.routing import (
    LoadReport,
    OwnerEstimate,
    OwnerLoad,
    ReadCandidate,
    ReadRequirement,
    SelectedInstance,
    place_read,
    update_load_report,
)

# One-way latency between senders and owners, in seconds.
WAY_S = 0.0034
SLOTS = 5
SENDERS = 30
SECONDS, SETTLED_S = 20.0, 5.0
# A sender's own latency of an instance, as pools keep it: its first value, the weight of a sample,
# and the half-life with which it returns to the first value.
INITIAL_LATENCY_S, LATENCY_WEIGHT, LATENCY_HALF_LIFE_S = 0.03, 0.2, 2.0


class _Sender:
    """A proxy without connections: it places reads and sends them to owners."""

    def __init__(
        self, clock: Clock, owners: dict[str, Owner], random: Random, uses_reports: bool
    ) -> None:
        self._clock = clock
        self._owners = owners
        self._random = random
        self._uses_reports = uses_reports
        self._reports: dict[str, LoadReport] = {}
        # Latency of each instance, and when it was updated, in seconds.
        self._latencies = dict.fromkeys(owners, (INITIAL_LATENCY_S, 0.0))
        self._in_flight = dict.fromkeys(owners, 0)
        # Time of each answer, its instance, and its latency, in seconds.
        self.answers: list[tuple[float, str, float]] = []
        self.refused = 0

    def arrive(self) -> None:
        """Place a read and send it."""
        placement = place_read(
            [self._candidate(name) for name in self._owners],
            ReadRequirement(Position(1, 1)),
            self._random if self._uses_reports else None,
        )
        assert isinstance(placement, SelectedInstance)
        self._send(placement.id)

    def _candidate(self, name: str) -> ReadCandidate:
        estimate = OwnerEstimate()
        if self._uses_reports and name in self._reports:
            estimate = self._reports[name].estimate(self._clock.now)
        return ReadCandidate(
            name,
            True,
            False,
            SLOTS,
            self._in_flight[name],
            self._latency(name),
            owner_estimate=estimate,
        )

    def _latency(self, name: str) -> float:
        latency, updated_at = self._latencies[name]
        decay = 0.5 ** ((self._clock.now - updated_at) / LATENCY_HALF_LIFE_S)
        return float(INITIAL_LATENCY_S + (latency - INITIAL_LATENCY_S) * decay)

    def _send(self, name: str) -> None:
        sent_at, owner = self._clock.now, self._owners[name]
        self._in_flight[name] += 1
        if name in self._reports:
            self._reports[name] = self._reports[name].add_sent()

        def respond(has_run: bool) -> None:
            load = OwnerLoad(*owner.load)
            self._clock.call_at(self._clock.now + WAY_S, lambda: receive(has_run, load))

        def receive(has_run: bool, load: OwnerLoad) -> None:
            elapsed = self._clock.now - sent_at
            self._in_flight[name] -= 1
            sample = elapsed if has_run else None
            self._reports[name] = update_load_report(
                self._reports.get(name), load, sample, self._clock.now
            )
            if not has_run:
                self.refused += 1
                return
            latency = self._latency(name)
            latency += (elapsed - latency) * LATENCY_WEIGHT
            self._latencies[name] = (latency, self._clock.now)
            self.answers.append((self._clock.now, name, elapsed))

        self._clock.call_at(sent_at + WAY_S, lambda: owner.arrive(respond))


def _run(
    works: tuple[float, ...],
    rate: float,
    uses_reports: bool,
    slowdown: Callable[[float, int], float] = lambda now, running: 1.0,
) -> list[_Sender]:
    """Run senders with this rate in all; the slowdown is that of the first instance."""
    clock, random = Clock(), Random(1)
    owners = {}
    for number, work in enumerate(works):
        factor = slowdown if number == 0 else lambda now, running: 1.0
        instance = Instance(clock, Random(number), SLOTS, mean_work=work, slowdown=factor)
        owners[f"db-{number}"] = Owner(clock, instance, 26, SLOTS, is_limited=True)
    senders = [_Sender(clock, owners, Random(n), uses_reports) for n in range(SENDERS)]
    for sender in senders:
        send_arrivals(clock, random, sender, lambda _: rate / SENDERS, SECONDS)
    clock.run_until(SECONDS)
    return senders


def _quantile(senders: list[_Sender], share: float, since: float, until: float) -> float:
    times = sorted(s for sender in senders for at, _, s in sender.answers if since <= at < until)
    return times[int(share * len(times))]


class TestUnevenInstances(testtools.TestCase):
    """Load: three instances, of which one is 7 times as slow as the fastest, at 80% of the sum."""

    works = (0.006, 0.012, 0.042)

    def test_slow_tail_is_shorter_with_reports(self) -> None:
        rate = 0.8 * sum(SLOTS / (work * 1.04) for work in self.works)
        before, after = (_run(self.works, rate, uses_reports) for uses_reports in (False, True))
        times = [_quantile(run, 0.99, SETTLED_S, SECONDS) for run in (before, after)]
        self.assertLess(times[1], times[0])
        self.assertLessEqual(
            sum(sender.refused for sender in after), sum(sender.refused for sender in before)
        )


class TestHerd(testtools.TestCase):
    """Load: many senders with the same report; the queues must not swing between the instances."""

    def test_no_instance_is_flooded_while_another_is_idle(self) -> None:
        works = (0.015, 0.015, 0.015)
        rate = 0.8 * sum(SLOTS / (work * 1.04) for work in works)
        senders = _run(works, rate, uses_reports=True)
        answers = [a for sender in senders for a in sender.answers if a[0] >= SETTLED_S]
        for second in range(int(SETTLED_S), int(SECONDS)):
            names = [name for at, name, _ in answers if second <= at < second + 1]
            for name in ("db-0", "db-1", "db-2"):
                self.assertGreater(names.count(name), len(names) / 6)


class TestTemporarySlowness(testtools.TestCase):
    """Load: one of three instances is 20 times as slow for 6 s, and recovers."""

    def setUp(self) -> None:
        super().setUp()

        def slowdown(now: float, running: int) -> float:
            return 20.0 if 7.0 <= now < 13.0 else 1.0

        self.senders = _run((0.015,) * 3, 500.0, True, slowdown)

    def test_most_reads_are_not_slowed(self) -> None:
        self.assertLess(_quantile(self.senders, 0.9, 8.0, 13.0), 0.15)

    def test_instance_is_used_again_within_three_seconds(self) -> None:
        names = [name for s in self.senders for at, name, _ in s.answers if at >= 16.0]
        self.assertGreater(names.count("db-0"), len(names) / 6)
