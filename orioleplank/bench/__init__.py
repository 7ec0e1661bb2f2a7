"""Benchmarks on real processes, which a script starts."""

from orioleplank.bench._cluster import Cluster
from orioleplank.bench._measure import measure_failovers, measure_overload, measure_proxy_overhead

__all__ = ["Cluster", "measure_failovers", "measure_overload", "measure_proxy_overhead"]
