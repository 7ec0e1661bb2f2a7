"""The event log, with a number per event type, and the Prometheus metrics."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable

from logbook import Logger, StreamHandler
from prometheus_client import CollectorRegistry, Counter, Histogram

from orioleplank.daemon import _service_names as names
from orioleplank.daemon._burn_rate import BurnRateCounts, KindKey
from orioleplank.decision.quorum import (
    Answer,
    Event,
    ExitProcess,
    LogEvent,
    Person,
    Refusal,
    Reply,
)
from orioleplank.kernel import Service

_WARNING_EVENTS = frozenset(
    {
        Event.PRIMARY_SUSPECTED,
        Event.SEAL_REFUSED,
        Event.INSTANCE_UNREACHABLE,
        Event.CONNECTION_LOST,
        Event.TRANSACTION_ABORTED,
        Event.PLATFORM_UNAVAILABLE,
    }
)
_DEBUG_EVENTS = frozenset({Event.REQUEST_RETRIED, Event.REQUEST_REFUSED, Event.LATE_REPLY_DROPPED})
_LINE_FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.message}"
_LATENCY_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


class Metrics:
    """The proxy's Prometheus metrics, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "orioleplank_requests",
            "Requests by outcome.",
            ("service", "kind", "outcome", "party", "reason", "did_run"),
            registry=self.registry,
        )
        self.reads = Counter(
            "orioleplank_reads",
            "Reads answered, by role of the instance.",
            ("service", "kind", "role"),
            registry=self.registry,
        )
        self.attempts = Counter(
            "orioleplank_attempts",
            "Statements sent upstream.",
            ("service", "kind"),
            registry=self.registry,
        )
        self.seconds = Histogram(
            "orioleplank_request_seconds",
            "Seconds from arrival to reply.",
            ("service", "kind"),
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self.unknown = Counter(
            "orioleplank_unknown_kind_requests",
            "Requests that name no configured service and kind.",
            registry=self.registry,
        )
        self.events = Counter(
            "orioleplank_events", "Numbered events.", ("event",), registry=self.registry
        )


class EventLog(Service):
    """Logs and counts events and replies, and ends the process when the proxy has stopped.

    `exit_process` is called when the proxy has stopped. Refusals caused by an operator's
    change are left out of the burn rate counts.
    """

    def __init__(self, proxy: str, level: str, exit_process: Callable[[], None]) -> None:
        super().__init__(names.EVENTS)
        self.metrics = Metrics()
        self.burn_rate_counts = BurnRateCounts()
        self._proxy = proxy
        self._exit_process = exit_process
        self._logger = Logger("orioleplank")
        self._handler = StreamHandler(
            sys.stderr,
            level=level,
            format_string=_LINE_FORMAT,
        )

    def receive(self, message: object) -> None:
        """Log an event, count a reply, or end the process."""
        match message:
            case LogEvent():
                self.log(message)
            case Reply():
                self._count(message)
            case ExitProcess():
                self._exit_process()

    def log(self, entry: LogEvent) -> None:
        """Count an event and log it as one line of JSON at the level of its type."""
        self.metrics.events.labels(entry.event.name.lower()).inc()
        line = json.dumps(
            {
                "event": entry.event.value,
                "name": entry.event.name.lower(),
                "proxy": self._proxy,
                "step": entry.step,
                "peer": entry.peer,
                "detail": entry.detail,
            }
        )
        with self._handler.threadbound():
            if entry.event is Event.INTERNAL_ERROR:
                self._logger.error(line)
            elif entry.event in _WARNING_EVENTS:
                self._logger.warning(line)
            elif entry.event in _DEBUG_EVENTS:
                self._logger.debug(line)
            else:
                self._logger.info(line)

    def _count(self, reply: Reply) -> None:
        request = reply.request
        by_person = isinstance(reply.outcome, Refusal) and isinstance(reply.outcome.party, Person)
        if reply.has_known_kind and not by_person:
            key = KindKey(request.service, request.kind)
            self.burn_rate_counts.add(key, isinstance(reply.outcome, Answer), self.kernel.now())
        if not reply.has_known_kind:
            self.metrics.unknown.inc()
            return
        self.metrics.seconds.labels(request.service, request.kind).observe(reply.elapsed)
        self.metrics.attempts.labels(request.service, request.kind).inc(reply.attempts)
        match reply.outcome:
            case Answer(by_replica=by_replica):
                labels = (request.service, request.kind, "answered", "", "", "")
                self.metrics.requests.labels(*labels).inc()
                if not request.write:
                    role = "replica" if by_replica else "primary"
                    self.metrics.reads.labels(request.service, request.kind, role).inc()
            case Refusal() as refusal:
                self._count_refusal(reply, refusal)

    def _count_refusal(self, reply: Reply, refusal: Refusal) -> None:
        request = reply.request
        party = "person" if isinstance(refusal.party, Person) else "program"
        self.metrics.requests.labels(
            request.service,
            request.kind,
            "refused",
            party,
            refusal.reason.value,
            refusal.did_run.value,
        ).inc()
        detail = f"{refusal.reason.value}: {refusal.detail}"
        self.log(LogEvent(Event.REQUEST_REFUSED, refusal.step, refusal.peer, detail))
