"""Benchmarks over real processes that a script has started."""

from orioleplank.bench._cluster import Cluster
from orioleplank.bench._measure import measure_failovers, measure_overload, measure_proxy_overhead

__all__ = ["Cluster", "measure_failovers", "measure_overload", "measure_proxy_overhead"]
