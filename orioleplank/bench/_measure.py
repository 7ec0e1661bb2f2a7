"""The measurements of the benchmarks."""

from __future__ import annotations

import asyncio
import signal
import time
from dataclasses import dataclass
from statistics import median

from orioleplank._protos import orioleplank_caller_pb2 as pb
from orioleplank.bench._cluster import SERVICE, Cluster
from orioleplank.client import Caller, Session, Stream, make_payload, make_query
from orioleplank.load import KindPlan, LoadGenerator, LoadPlan, LoadResult

READ_KIND = KindPlan("catalogue", 0.7, "SELECT 1, 2", weight=1, max_age=2.0)
WRITE_KIND = KindPlan("save-quote", 0.3, "INSERT INTO quote VALUES (?, ?)", weight=10, write=True)
PAIR_RATE_PER_S, PAIR_DURATION_S, PAIR_COUNT = 200.0, 4.0, 3
BUSY_RATE_PER_S, BUSY_DURATION_S = 900.0, 6.0
IDLE_DURATION_S = 4.0
STREAM_COUNT = 600
OVERLOAD_DURATION_S = 6.0
OVERLOAD_TIMEOUT_S = 1.0
FAILOVER_RATE_PER_S, PRIMARY_PAUSE_S, RECOVERY_S = 60.0, 2.5, 2.5


@dataclass(frozen=True, slots=True)
class ProxyOverheadResult:
    """Cost of a proxy in latency, CPU time and memory."""

    # Statements per second of CPU time.
    statements_per_core_s: float
    # Added latency at the median, in seconds.
    added_latency_p50_s: float
    # Latency through a proxy divided by that of a direct connection, at the 99th percentile.
    added_latency_p99_ratio: float
    # Memory of a proxy for one caller stream, in bytes.
    bytes_per_caller: float
    # Share of a core that one idle proxy uses.
    control_core_share: float
    # Resident memory of an idle proxy, in bytes.
    idle_bytes: float


@dataclass(frozen=True, slots=True)
class OverloadResult:
    """Goodput, answered shares and exceeded limits under overload."""

    # Weighted goodput per second at each multiple of the capacity.
    worth: dict[str, float]
    # Goodput at four times the capacity divided by the best goodput.
    overload_goodput_ratio: float
    # Share of the heavy kind answered at four times the capacity.
    heavy_answered_share: float
    # Share of the light kind answered at four times the capacity.
    light_answered_share: float
    # Share of reads that replicas served at one times the capacity.
    replica_share: float
    # Statements that an instance refused because all its slots were busy.
    slots_exceeded: int
    # Connections that an instance refused because its connection limit was reached.
    connections_exceeded: int


@dataclass(frozen=True, slots=True)
class FailoverResult:
    """Write gaps and statement attempts during failovers."""

    # Longest times without an acknowledged write in seconds, longest first; one per failover, but
    # at most five.
    gaps: tuple[float, ...]
    # The longest gap; with so few failovers it stands for the 99th percentile.
    failover_gap_p99_s: float
    # Statements sent upstream per request, over the whole measurement.
    attempts_per_request: float


def make_plan(
    cluster: Cluster, rate: float, seconds: float, kinds: tuple[KindPlan, ...], timeout: float = 2.0
) -> LoadPlan:
    """Return a load plan that uses all proxies."""
    return LoadPlan(cluster.proxy_addresses, SERVICE, rate, seconds, kinds, timeout=timeout)


async def create_table(cluster: Cluster) -> None:
    """Create the table that the writes of the benchmarks use."""
    caller = Caller(cluster.proxy_addresses)
    payload = make_payload(make_query("CREATE TABLE quote (id TEXT, s TEXT)"))
    request = pb.CallerRequest(
        id=f"create-{time.time()}", service=SERVICE, kind="save-quote", payload=payload, write=True
    )
    reply = await Session().ask(caller.stream(), request)
    await caller.close()
    if reply.WhichOneof("outcome") != "answer":
        raise SystemExit(f"the table could not be created: {reply}")


async def measure_proxy_overhead(cluster: Cluster) -> ProxyOverheadResult:
    """Measure latency in direct and proxied pairs, then CPU time and memory."""
    idle_bytes = float(cluster.resident_bytes(0))
    cpu_before = cluster.cpu_seconds()
    await asyncio.sleep(IDLE_DURATION_S)
    control_share = (
        (cluster.cpu_seconds() - cpu_before) / IDLE_DURATION_S / len(cluster.proxy_addresses)
    )
    read_kind = KindPlan("catalogue", 1.0, READ_KIND.sql, max_age=2.0)
    direct_results, proxied_results = [], []
    for _ in range(PAIR_COUNT):
        index, term = cluster.find_primary()
        plan = LoadPlan(
            (cluster.instance_addresses[index],),
            SERVICE,
            PAIR_RATE_PER_S,
            PAIR_DURATION_S,
            (read_kind,),
            straight=True,
            term=term,
        )
        direct_results.append(await LoadGenerator(plan).run())
        proxied_results.append(
            await LoadGenerator(
                make_plan(cluster, PAIR_RATE_PER_S, PAIR_DURATION_S, (read_kind,))
            ).run()
        )
    cpu_before = cluster.cpu_seconds()
    busy_result = await LoadGenerator(
        make_plan(cluster, BUSY_RATE_PER_S, BUSY_DURATION_S, (READ_KIND, WRITE_KIND))
    ).run()
    cpu_s = cluster.cpu_seconds() - cpu_before
    return ProxyOverheadResult(
        busy_result.answered / cpu_s,
        _median_latency(proxied_results, "50.0") - _median_latency(direct_results, "50.0"),
        _median_latency(proxied_results, "99.0") / _median_latency(direct_results, "99.0"),
        await _measure_bytes_per_caller(cluster),
        control_share,
        idle_bytes,
    )


def _median_latency(results: list[LoadResult], quantile: str) -> float:
    return median(result.kinds[0].latency[quantile] for result in results)


async def _measure_bytes_per_caller(cluster: Cluster) -> float:
    bytes_before = cluster.resident_bytes(0)
    streams = [Stream(cluster.proxy_addresses[0]) for _ in range(STREAM_COUNT)]
    payload = make_payload(make_query("SELECT 1"))
    for number, stream in enumerate(streams):
        request = pb.CallerRequest(
            id=f"stream-{time.time()}-{number}",
            service=SERVICE,
            kind="catalogue",
            payload=payload,
            new_session=True,
        )
        await stream.ask(request)
    growth = cluster.resident_bytes(0) - bytes_before
    for stream in streams:
        await stream.close()
    return growth / STREAM_COUNT


async def measure_overload(cluster: Cluster, capacity: float) -> OverloadResult:
    """Measure goodput at one, two and four times the capacity."""
    results = {}
    for factor in (1, 2, 4):
        plan = make_plan(
            cluster,
            capacity * factor,
            OVERLOAD_DURATION_S,
            (READ_KIND, WRITE_KIND),
            OVERLOAD_TIMEOUT_S,
        )
        results[factor] = await LoadGenerator(plan).run()
        await asyncio.sleep(1.5)
    worth = {f"{factor}x": result.mean_goodput for factor, result in results.items()}
    light, heavy = results[4].kinds
    reads = results[1].kinds[0]
    audits = [cluster.fetch_instance_state(address) for address in cluster.instance_admins]
    return OverloadResult(
        worth,
        worth["4x"] / max(worth.values()),
        heavy.answered / heavy.sent,
        light.answered / light.sent,
        reads.by_replica / max(1, reads.answered),
        sum(int(audit["slots_exceeded"]) for audit in audits),
        sum(int(audit["connections_exceeded"]) for audit in audits),
    )


async def measure_failovers(cluster: Cluster, count: int) -> FailoverResult:
    """Pause the primary `count` times while writes arrive, and measure the longest write gaps."""
    duration = count * (PRIMARY_PAUSE_S + RECOVERY_S) + 2.0
    write = KindPlan("save-quote", 1.0, WRITE_KIND.sql, weight=10, write=True)
    attempts = cluster.sum_metric("orioleplank_attempts_total")
    requests = cluster.sum_metric("orioleplank_requests_total")
    generator = LoadGenerator(
        make_plan(cluster, FAILOVER_RATE_PER_S, duration, (write,), timeout=5.0)
    )
    load_task = asyncio.get_running_loop().create_task(generator.run())
    await asyncio.sleep(1.0)
    for _ in range(count):
        index, _ = await asyncio.to_thread(cluster.find_primary)
        cluster.signal_instance(index, signal.SIGSTOP)
        await asyncio.sleep(PRIMARY_PAUSE_S)
        cluster.signal_instance(index, signal.SIGCONT)
        await asyncio.sleep(RECOVERY_S)
    result = await load_task
    attempts = cluster.sum_metric("orioleplank_attempts_total") - attempts
    requests = cluster.sum_metric("orioleplank_requests_total") - requests
    gaps = result.write_gaps[:count]
    return FailoverResult(gaps, max(gaps), attempts / max(1.0, requests))
