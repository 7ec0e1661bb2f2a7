"""The metrics of a proxy in the text format of Prometheus."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import accumulate

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from orioleplank.gateway._metrics import Counter, Gauge, Histogram, Metrics
from orioleplank.http import Response


def render_metrics(metrics: Metrics) -> Response:
    """Return the present values of all metrics."""
    registry = CollectorRegistry()
    registry.register(_MetricsCollector(metrics))
    return Response(200, generate_latest(registry), CONTENT_TYPE_LATEST)


class _MetricsCollector(Collector):
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Convert each metric."""
        for counter in self._metrics.counters:
            yield _convert_counter(counter)
        for gauge in self._metrics.gauges:
            yield _convert_gauge(gauge)
        for histogram in self._metrics.histograms:
            yield _convert_histogram(histogram)


def _convert_counter(counter: Counter) -> Metric:
    family = CounterMetricFamily(
        counter.name, counter.documentation, labels=list(counter.label_names)
    )
    for labels, count in counter.counts.items():
        family.add_metric(labels, count)
    return family


def _convert_gauge(gauge: Gauge) -> Metric:
    family = GaugeMetricFamily(gauge.name, gauge.documentation, labels=list(gauge.label_names))
    for labels, value in gauge.values.items():
        family.add_metric(labels, value)
    return family


def _convert_histogram(histogram: Histogram) -> Metric:
    family = HistogramMetricFamily(
        histogram.name, histogram.documentation, labels=list(histogram.label_names)
    )
    bounds = [*(str(bound) for bound in histogram.upper_bounds), "+Inf"]
    for labels, buckets in histogram.buckets.items():
        cumulative = [float(count) for count in accumulate(buckets)]
        family.add_metric(
            labels, list(zip(bounds, cumulative, strict=True)), histogram.sums[labels]
        )
    return family
