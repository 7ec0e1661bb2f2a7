"""Admission and the two lanes under load."""

from testtools import TestCase

from orioleplank.decision.quorum import (
    Answer,
    DidRun,
    MaxAgeFreshness,
    Operation,
    Person,
    Refusal,
    RefusalReason,
    Request,
    SessionToken,
)
from orioleplank.decision.quorum._pending_request import PendingRequest
from orioleplank.decision.quorum._request_queues import QueueName, RequestQueues, choose_queue
from orioleplank.decision.quorum._throughput import Throughput
from orioleplank.decision.quorum.tests.test_proxy import ProxyHarness


def make_exchange(number: int, weight: int = 1, write: bool = False) -> PendingRequest:
    """Return a request that may go to a replica unless it writes."""
    request = Request(
        f"r{number}",
        "books",
        "save",
        Operation.RUN,
        b"",
        write,
        False,
        MaxAgeFreshness(5.0),
        10.0,
        SessionToken(),
    )
    return PendingRequest(number, 1, request, 0.0, weight)


class ThroughputTest(TestCase):
    def test_wait_follows_from_the_measured_rate(self) -> None:
        throughput = Throughput(window_started_at=0.0)
        for place in range(200):
            throughput = throughput.record_completion(place * 0.01)
        self.assertAlmostEqual(0.5, throughput.estimate_wait(50), delta=0.05)

    def test_nothing_is_known_after_a_pause(self) -> None:
        throughput = Throughput(rate=5.0, window_started_at=0.0)
        self.assertEqual(0.0, throughput.roll_window(10.0).estimate_wait(50))


class LanesTest(TestCase):
    def test_reads_of_replicas_do_not_wait_behind_writes(self) -> None:
        lanes = RequestQueues()
        for number in range(20):
            lanes.add(make_exchange(number, weight=10, write=True))
        lanes.add(make_exchange(99))
        self.assertEqual([99], list(lanes.first_numbers(QueueName.REPLICA, 8)))
        self.assertEqual(20, lanes.length(QueueName.PRIMARY))

    def test_heavy_goes_first_and_light_is_last(self) -> None:
        lanes = RequestQueues()
        for number, weight in ((1, 1), (2, 10), (3, 5), (4, 10)):
            lanes.add(make_exchange(number, weight))
        lane = choose_queue(make_exchange(1).request)
        self.assertEqual([2, 4, 3, 1], list(lanes.first_numbers(lane, 8)))
        self.assertEqual(1, lanes.last_number(lane))
        self.assertEqual(3, lanes.count_ahead(lane, 5))


class AdmissionTest(TestCase):
    def flood(self, count: int) -> list[Refusal]:
        """Send writes that no instance answers; return the refusals at arrival."""
        bench = ProxyHarness()
        for number in range(count):
            bench.send_request(write=True, request_id=f"r{number}")
        return [outcome for outcome in bench.outcomes if isinstance(outcome, Refusal)]

    def test_full_queue_refuses_truthfully(self) -> None:
        refusals = self.flood(420)
        self.assertNotEqual([], refusals)
        for refusal in refusals:
            self.assertEqual(
                (RefusalReason.OVERLOADED, DidRun.NO), (refusal.reason, refusal.did_run)
            )
            self.assertGreater(refusal.retry_after, 0.0)
            self.assertNotIsInstance(refusal.party, Person)

    def test_queue_takes_what_fits(self) -> None:
        self.assertEqual([], self.flood(300))

    def test_answers_go_on_while_others_wait(self) -> None:
        bench = ProxyHarness()
        for number in range(20):
            bench.send_request(write=True, request_id=f"r{number}")
        self.assertEqual(5, len(bench.statements))
        bench.answer_statement()
        self.assertEqual(6, len(bench.statements))
        self.assertEqual([Answer], [type(outcome) for outcome in bench.outcomes])
