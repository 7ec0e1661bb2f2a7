"""Prometheus counters and latency histograms of a proxy."""

from __future__ import annotations

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Histogram,
    generate_latest,
)
from twisted.web.resource import Resource
from twisted.web.server import Request as HttpRequest
from twisted.web.server import Site

from orioleplank.decision.session import Statement
from orioleplank.gateway._instance_executor import Request
from orioleplank.gateway._outcome import Completed, Outcome

# Upper bounds of the latency histogram, in seconds.
_LATENCY_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


class Metrics:
    """The metrics of one proxy, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.statements = Counter(
            "orioleplank_statements",
            "Statements by outcome.",
            ("service", "consistency", "statement", "outcome", "step"),
            registry=self.registry,
        )
        self.seconds = Histogram(
            "orioleplank_statement_seconds",
            "Seconds from arrival to reply.",
            ("service", "consistency"),
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self.events = Counter(
            "orioleplank_events", "Numbered events.", ("event",), registry=self.registry
        )
        self.store_calls = Counter(
            "orioleplank_store_calls",
            "Calls to the platform's store, by answer.",
            ("method", "answer"),
            registry=self.registry,
        )
        self.served_by = Counter(
            "orioleplank_served_by",
            "Statements that an instance answered.",
            ("service", "instance"),
            registry=self.registry,
        )

    def record_statement(
        self, request: Request, statement: Statement, outcome: Outcome, elapsed: float
    ) -> None:
        """Count a statement by outcome and observe its latency, `elapsed`, in seconds."""
        route = request.route
        route_labels = (route.service, route.consistency.value)
        self.seconds.labels(*route_labels).observe(elapsed)
        statement_name = type(statement).__name__.lower()
        match outcome:
            case Completed(_, instance):
                self.statements.labels(*route_labels, statement_name, "answered", "").inc()
                self.served_by.labels(route.service, instance).inc()
            case _:
                code = outcome.failure.code.value
                self.statements.labels(*route_labels, statement_name, code, outcome.step).inc()

    def build_site(self) -> Site:
        """Return a web site that serves the metrics in text format on every path."""
        site = Site(_MetricsPage(self.registry))
        site.noisy = False
        return site


class _MetricsPage(Resource):
    """Web page with the metrics in text format."""

    isLeaf = True  # noqa: N815

    def __init__(self, registry: CollectorRegistry) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._registry = registry

    def render_GET(self, request: HttpRequest) -> bytes:  # noqa: N802
        request.setHeader("Content-Type", CONTENT_TYPE_LATEST)
        return generate_latest(self._registry)
