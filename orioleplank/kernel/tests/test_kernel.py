"""Tests of the kernel with a simulated clock."""

from testtools import TestCase
from twisted.internet.defer import Deferred, fail
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from orioleplank import UnknownServiceNameError
from orioleplank.kernel import Kernel, Service, Timer, TimerTick


class RecordingService(Service):
    """Records the messages it receives."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.received: list[object] = []

    def receive(self, message: object) -> None:
        """Record a message; raise `ValueError` for the text "bad"."""
        if message == "bad":
            raise ValueError("bad message")
        self.received.append(message)


class UnstoppableService(RecordingService):
    """Fails to stop with an `OSError` that contains its name."""

    def stop(self) -> Deferred[None]:
        """Return a failed `Deferred`."""
        return fail(OSError(self.name))


class KernelTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.failures: list[tuple[str, object]] = []
        self.kernel = Kernel(
            self.clock, lambda name, message, error: self.failures.append((name, message))
        )

    def test_services_are_looked_up_by_unique_name(self) -> None:
        recorder = RecordingService("a")
        self.kernel.add(recorder)
        self.assertIs(recorder, self.kernel.get_service("a"))
        self.assertRaises(UnknownServiceNameError, self.kernel.get_service, "b")
        self.assertRaises(ValueError, self.kernel.add, RecordingService("a"))

    def test_messages_are_delivered_in_order_and_not_during_post(self) -> None:
        recorder = RecordingService("a")
        self.kernel.add(recorder)
        for number in range(3):
            recorder.post(number)
        self.assertEqual([], recorder.received)
        self.clock.advance(0)
        self.assertEqual([0, 1, 2], recorder.received)

    def test_failed_message_is_reported_and_later_messages_are_delivered(self) -> None:
        recorder = RecordingService("a")
        self.kernel.add(recorder)
        recorder.post("bad")
        recorder.post("good")
        self.clock.advance(0)
        self.assertEqual(["good"], recorder.received)
        self.assertEqual([("a", "bad")], self.failures)

    def test_timer_posts_one_tick_per_period(self) -> None:
        timer, recorder = Timer(), RecordingService("a")
        self.kernel.add(timer)
        self.kernel.add(recorder)
        timer.subscribe(recorder, "beat", 0.5)
        self.clock.pump([0.1] * 12)
        self.assertEqual(2, len(recorder.received))
        tick = recorder.received[0]
        assert isinstance(tick, TimerTick)
        self.assertEqual("beat", tick.topic)

    def test_errors_of_several_stops_are_raised_as_one_group(self) -> None:
        for name in "ab":
            self.kernel.add(UnstoppableService(name))
        failures: list[Failure] = []
        self.kernel.stop().addErrback(failures.append)
        group = failures[0].value
        assert isinstance(group, ExceptionGroup)
        self.assertEqual(["b", "a"], [str(error) for error in group.exceptions])

    def test_stopped_service_receives_no_messages(self) -> None:
        recorder = RecordingService("a")
        self.kernel.add(recorder)
        self.kernel.stop()
        recorder.post(1)
        self.clock.advance(0)
        self.assertEqual([], recorder.received)
