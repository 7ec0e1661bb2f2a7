"""Admission control and the two request queues under load."""

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


def make_pending_request(number: int, weight: int = 1, write: bool = False) -> PendingRequest:
    """Return a pending request that a replica may serve unless it is a write."""
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
    def test_expected_wait_follows_from_the_measured_rate(self) -> None:
        throughput = Throughput(window_started_at=0.0)
        for number in range(200):
            throughput = throughput.record_completion(number * 0.01)
        self.assertAlmostEqual(0.5, throughput.estimate_wait(50), delta=0.05)

    def test_wait_is_unknown_after_a_long_pause(self) -> None:
        throughput = Throughput(rate=5.0, window_started_at=0.0)
        self.assertEqual(0.0, throughput.roll_window(10.0).estimate_wait(50))


class RequestQueuesTest(TestCase):
    def test_replica_reads_do_not_wait_behind_writes(self) -> None:
        queues = RequestQueues()
        for number in range(20):
            queues.add(make_pending_request(number, weight=10, write=True))
        queues.add(make_pending_request(99))
        self.assertEqual([99], list(queues.first_numbers(QueueName.REPLICA, 8)))
        self.assertEqual(20, queues.length(QueueName.PRIMARY))

    def test_requests_are_ordered_by_weight_then_arrival(self) -> None:
        queues = RequestQueues()
        for number, weight in ((1, 1), (2, 10), (3, 5), (4, 10)):
            queues.add(make_pending_request(number, weight))
        queue_name = choose_queue(make_pending_request(1).request)
        self.assertEqual([2, 4, 3, 1], list(queues.first_numbers(queue_name, 8)))
        self.assertEqual(1, queues.last_number(queue_name))
        self.assertEqual(3, queues.count_ahead(queue_name, 5))


class AdmissionTest(TestCase):
    def collect_refusals(self, count: int) -> list[Refusal]:
        """Send `count` writes that no instance answers; return the refusals at arrival."""
        harness = ProxyHarness()
        for number in range(count):
            harness.send_request(write=True, request_id=f"r{number}")
        return [outcome for outcome in harness.outcomes if isinstance(outcome, Refusal)]

    def test_request_is_refused_as_not_run_when_the_queue_is_full(self) -> None:
        refusals = self.collect_refusals(420)
        self.assertNotEqual([], refusals)
        for refusal in refusals:
            self.assertEqual(
                (RefusalReason.OVERLOADED, DidRun.NO), (refusal.reason, refusal.did_run)
            )
            self.assertGreater(refusal.retry_after, 0.0)
            self.assertNotIsInstance(refusal.party, Person)

    def test_requests_are_admitted_below_the_queue_limit(self) -> None:
        self.assertEqual([], self.collect_refusals(300))

    def test_answer_frees_a_slot_for_a_queued_request(self) -> None:
        harness = ProxyHarness()
        for number in range(20):
            harness.send_request(write=True, request_id=f"r{number}")
        self.assertEqual(5, len(harness.statements))
        harness.answer_statement()
        self.assertEqual(6, len(harness.statements))
        self.assertEqual([Answer], [type(outcome) for outcome in harness.outcomes])
