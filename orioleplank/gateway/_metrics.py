"""Counters and latency histograms of a proxy."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict

from orioleplank.decision.session import Statement
from orioleplank.gateway._instance_executor import Request
from orioleplank.gateway._outcome import WAIT_STEP, Completed, Outcome, Refused
from orioleplank.http import Response

# Upper bounds of the latency histogram, in seconds.
LATENCY_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


class Counter:
    """Counts by the values of its labels."""

    def __init__(self, name: str, documentation: str, label_names: tuple[str, ...]) -> None:
        self.name = name
        self.documentation = documentation
        self.label_names = label_names
        self.counts: defaultdict[tuple[str, ...], int] = defaultdict(int)

    def increment(self, *labels: str) -> None:
        """Count one; `labels` are the values of the labels."""
        self.counts[labels] += 1

    def add(self, amount: int, *labels: str) -> None:
        """Count several at once; `labels` are the values of the labels."""
        self.counts[labels] += amount


class Gauge:
    """Present values by the values of its labels."""

    def __init__(self, name: str, documentation: str, label_names: tuple[str, ...]) -> None:
        self.name = name
        self.documentation = documentation
        self.label_names = label_names
        self.values: dict[tuple[str, ...], float] = {}


class Histogram:
    """Numbers of observations by bucket, and their sum, by the values of its labels."""

    def __init__(
        self,
        name: str,
        documentation: str,
        label_names: tuple[str, ...],
        upper_bounds: tuple[float, ...],
    ) -> None:
        self.name = name
        self.documentation = documentation
        self.label_names = label_names
        # Ascending; a further bucket has the observations above the last bound.
        self.upper_bounds = upper_bounds
        self.buckets: dict[tuple[str, ...], list[int]] = {}
        self.sums: defaultdict[tuple[str, ...], float] = defaultdict(float)

    def observe(self, value: float, *labels: str) -> None:
        """Add an observation; `labels` are the values of the labels."""
        buckets = self.buckets.get(labels)
        if buckets is None:
            buckets = self.buckets[labels] = [0] * (len(self.upper_bounds) + 1)
        buckets[bisect_left(self.upper_bounds, value)] += 1
        self.sums[labels] += value


class Metrics:
    """The metrics of one proxy."""

    def __init__(self) -> None:
        self.statements = Counter(
            "orioleplank_statements",
            "Statements by outcome.",
            ("service", "consistency", "statement", "outcome", "step"),
        )
        self.seconds = Histogram(
            "orioleplank_statement_seconds",
            "Seconds from arrival to reply.",
            ("service", "consistency"),
            LATENCY_BUCKETS_S,
        )
        self.events = Counter("orioleplank_events", "Numbered events.", ("event",))
        self.store_calls = Counter(
            "orioleplank_store_calls",
            "Calls to the platform's store, by answer.",
            ("method", "answer"),
        )
        self.served_by = Counter(
            "orioleplank_served_by",
            "Statements that an instance answered.",
            ("service", "instance"),
        )
        self.limit = Gauge(
            "orioleplank_statement_limit",
            "Statements that may be in progress at an instance.",
            ("service", "instance"),
        )
        self.running = Gauge(
            "orioleplank_statements_running",
            "Statements in progress at an instance.",
            ("service", "instance"),
        )
        self.waiting = Gauge(
            "orioleplank_statements_waiting",
            "Requests that wait for an instance.",
            ("service", "instance"),
        )
        self.configuration_version = Gauge(
            "orioleplank_configuration_version",
            "Version of the configuration that is in force, and the newest one that is known.",
            ("state",),
        )
        self.configuration_behind = Gauge(
            "orioleplank_configuration_behind_seconds",
            "Seconds since a version was first heard of that is not in force; 0 if none is.",
            (),
        )
        self.replica_waits = Counter(
            "orioleplank_replica_waits",
            "Reads that waited for a replica, by who answered or the code of the refusal.",
            ("service", "outcome"),
        )
        self.rate_limited = Counter(
            "orioleplank_rate_limited_operations",
            "Operations of accounts with a rate limit, by outcome.",
            ("account", "outcome", "reason"),
        )
        self.permits_granted = Counter(
            "orioleplank_permits_granted",
            "Permits that this proxy granted as a coordinator of accounts.",
            ("account",),
        )

        self.dropped = Counter(
            "orioleplank_dropped_requests",
            "Requests whose work ended because the caller had left.",
            ("service", "step"),
        )
        self.refused_waits = Counter(
            "orioleplank_refused_waits",
            "Requests refused while they waited, or would have waited, for a connection.",
            ("service", "account"),
        )

        self.limits = Counter(
            "orioleplank_limits",
            "Limits met by callers, peers and instances.",
            ("side", "reason"),
        )

    @property
    def counters(self) -> tuple[Counter, ...]:
        """All counters."""
        return (
            self.statements,
            self.events,
            self.store_calls,
            self.served_by,
            self.replica_waits,
            self.rate_limited,
            self.permits_granted,
            self.dropped,
            self.refused_waits,
            self.limits,
        )

    @property
    def histograms(self) -> tuple[Histogram, ...]:
        """All histograms."""
        return (self.seconds,)

    @property
    def gauges(self) -> tuple[Gauge, ...]:
        """All gauges."""
        return (*self._limit_gauges, self.configuration_version, self.configuration_behind)

    @property
    def _limit_gauges(self) -> tuple[Gauge, ...]:
        return (self.limit, self.running, self.waiting)

    def clear_limits(self) -> None:
        """Remove the values of all instances, before they are set again."""
        for gauge in self._limit_gauges:
            gauge.values.clear()

    def set_configuration(self, version: int, newest_version: int, behind_s: float) -> None:
        """Set the version in force, the newest one known, and for how long one is missing."""
        self.configuration_version.values["in_force",] = version
        self.configuration_version.values["newest",] = newest_version
        self.configuration_behind.values[()] = behind_s

    def set_limit(
        self, service: str, instance: str, limit: int, running: int, waiting: int
    ) -> None:
        """Set the limit on statements at an instance, and how many run and wait."""
        self.limit.values[service, instance] = limit
        self.running.values[service, instance] = running
        self.waiting.values[service, instance] = waiting

    def record_statement(
        self, request: Request, statement: Statement, outcome: Outcome, elapsed: float
    ) -> None:
        """Count a statement by outcome and observe its latency, `elapsed`, in seconds.

        A statement that ended without a reply because its caller had left counts as dropped only.
        """
        route = request.route
        if request.cancellation.is_cancelled and isinstance(outcome, Refused):
            self.dropped.increment(route.service, outcome.step)
            return
        route_labels = (route.service, route.consistency.value)
        self.seconds.observe(elapsed, *route_labels)
        statement_name = type(statement).__name__.lower()
        match outcome:
            case Completed(_, instance):
                self.statements.increment(*route_labels, statement_name, "answered", "")
                self.served_by.increment(route.service, instance)
            case _:
                code = outcome.failure.code.value
                self.statements.increment(*route_labels, statement_name, code, outcome.step)
                if outcome.step == WAIT_STEP:
                    self.refused_waits.increment(route.service, request.account.name)

    def render(self) -> Response:
        """Return the metrics in the text format of Prometheus."""
        # Imported when the metrics are first read, so that a restart does not wait for it.
        from orioleplank.gateway._metrics_page import render_metrics

        return render_metrics(self)
