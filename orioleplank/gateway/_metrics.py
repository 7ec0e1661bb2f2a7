"""Counters and latency histograms of a proxy."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from typing import Any

from orioleplank.decision.session import Statement
from orioleplank.gateway._instance_executor import Request
from orioleplank.gateway._outcome import Completed, Outcome
from orioleplank.http import HttpServerFactory, Response

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

        self.limits = Counter(
            "orioleplank_limits",
            "Limits met by callers, peers and instances.",
            ("side", "reason"),
        )

    @property
    def counters(self) -> tuple[Counter, ...]:
        """All counters."""
        return (self.statements, self.events, self.store_calls, self.served_by, self.limits)

    @property
    def histograms(self) -> tuple[Histogram, ...]:
        """All histograms."""
        return (self.seconds,)

    def record_statement(
        self, request: Request, statement: Statement, outcome: Outcome, elapsed: float
    ) -> None:
        """Count a statement by outcome and observe its latency, `elapsed`, in seconds."""
        route = request.route
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

    def build_site(self, reactor: Any) -> HttpServerFactory:
        """Return a web site that serves the metrics in text format on every path."""
        return HttpServerFactory(reactor, lambda _: self.render())

    def render(self) -> Response:
        """Return the metrics in the text format of Prometheus."""
        # Imported when the metrics are first read, so that a restart does not wait for it.
        from orioleplank.gateway._metrics_page import render_metrics

        return render_metrics(self)
