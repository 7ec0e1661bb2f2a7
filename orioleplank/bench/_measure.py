"""What the benchmarks measure."""

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

READ = KindPlan("catalogue", 0.7, "SELECT 1, 2", weight=1, max_age=2.0)
WRITE = KindPlan("save-quote", 0.3, "INSERT INTO quote VALUES (?, ?)", weight=10, write=True)
PAIR_RATE, PAIR_S, PAIRS = 200.0, 4.0, 3
BUSY_RATE, BUSY_S = 900.0, 6.0
IDLE_S = 4.0
STREAMS = 600
OVERLOAD_S = 6.0
OVERLOAD_TIMEOUT_S = 1.0
FAILOVER_RATE, PAUSE_S, BETWEEN_S = 60.0, 2.5, 2.5


@dataclass(frozen=True, slots=True)
class ProxyOverheadResult:
    """Figures of the way through a proxy."""

    # Statements per second of one core's processor time.
    statements_per_core_s: float
    # Median added latency in seconds.
    added_latency_p50_s: float
    # Through a proxy over straight, at the 99th percentile.
    added_latency_p99_ratio: float
    # Bytes of a proxy's memory for one caller's connection.
    bytes_per_caller: float
    # Share of a core that an idle proxy uses for control.
    control_core_share: float
    # Bytes of memory of an idle proxy.
    idle_bytes: float


@dataclass(frozen=True, slots=True)
class OverloadResult:
    """Figures under overload."""

    # Worth per second at each multiple of the capacity.
    worth: dict[str, float]
    # Goodput at four times the capacity over the best.
    overload_goodput_ratio: float
    # Share of the heavy kind answered at four times the capacity.
    heavy_answered_share: float
    # Share of the light kind answered at four times the capacity.
    light_answered_share: float
    # Share of reads that replicas served at the capacity.
    replica_share: float
    # Statements refused by an instance because all its slots were busy.
    slots_exceeded: int
    # Connections refused by an instance because all were taken.
    connections_exceeded: int


@dataclass(frozen=True, slots=True)
class FailoverResult:
    """Figures of failovers."""

    # Seconds without an acknowledged write at each.
    gaps: tuple[float, ...]
    # The worst, as the 99th percentile of so few.
    failover_gap_p99_s: float
    # Statements sent upstream for each request, over the whole time.
    attempts_per_request: float


def make_plan(
    cluster: Cluster, rate: float, seconds: float, kinds: tuple[KindPlan, ...], timeout: float = 2.0
) -> LoadPlan:
    """Return a plan through all proxies."""
    return LoadPlan(cluster.proxy_addresses, SERVICE, rate, seconds, kinds, timeout=timeout)


async def create_table(cluster: Cluster) -> None:
    """Create the table of the writes."""
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
    """Measure latency in pairs, processor time, memory."""
    idle_bytes = float(cluster.resident_bytes(0))
    before = cluster.cpu_seconds()
    await asyncio.sleep(IDLE_S)
    control = (cluster.cpu_seconds() - before) / IDLE_S / len(cluster.proxy_addresses)
    read = KindPlan("catalogue", 1.0, READ.sql, max_age=2.0)
    straight, through = [], []
    for _ in range(PAIRS):
        place, term = cluster.find_primary()
        plan = LoadPlan(
            (cluster.instance_addresses[place],),
            SERVICE,
            PAIR_RATE,
            PAIR_S,
            (read,),
            straight=True,
            term=term,
        )
        straight.append(await LoadGenerator(plan).run())
        through.append(await LoadGenerator(make_plan(cluster, PAIR_RATE, PAIR_S, (read,))).run())
    before = cluster.cpu_seconds()
    busy = await LoadGenerator(make_plan(cluster, BUSY_RATE, BUSY_S, (READ, WRITE))).run()
    spent = cluster.cpu_seconds() - before
    return ProxyOverheadResult(
        busy.answered / spent,
        _quantile(through, "50.0") - _quantile(straight, "50.0"),
        _quantile(through, "99.0") / _quantile(straight, "99.0"),
        await _measure_callers(cluster),
        control,
        idle_bytes,
    )


def _quantile(results: list[LoadResult], quantile: str) -> float:
    return median(result.kinds[0].latency[quantile] for result in results)


async def _measure_callers(cluster: Cluster) -> float:
    before = cluster.resident_bytes(0)
    streams = [Stream(cluster.proxy_addresses[0]) for _ in range(STREAMS)]
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
    grown = cluster.resident_bytes(0) - before
    for stream in streams:
        await stream.close()
    return grown / STREAMS


async def measure_overload(cluster: Cluster, capacity: float) -> OverloadResult:
    """Measure goodput at one, two and four times the capacity."""
    results = {}
    for factor in (1, 2, 4):
        plan = make_plan(cluster, capacity * factor, OVERLOAD_S, (READ, WRITE), OVERLOAD_TIMEOUT_S)
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
    """Pause the primary several times while writes arrive, and measure each gap."""
    seconds = count * (PAUSE_S + BETWEEN_S) + 2.0
    write = KindPlan("save-quote", 1.0, WRITE.sql, weight=10, write=True)
    attempts = cluster.sum_metric("orioleplank_attempts_total")
    requests = cluster.sum_metric("orioleplank_requests_total")
    driver = LoadGenerator(make_plan(cluster, FAILOVER_RATE, seconds, (write,), timeout=5.0))
    load = asyncio.get_running_loop().create_task(driver.run())
    await asyncio.sleep(1.0)
    for _ in range(count):
        place, _ = await asyncio.to_thread(cluster.find_primary)
        cluster.signal_instance(place, signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        cluster.signal_instance(place, signal.SIGCONT)
        await asyncio.sleep(BETWEEN_S)
    result = await load
    attempts = cluster.sum_metric("orioleplank_attempts_total") - attempts
    requests = cluster.sum_metric("orioleplank_requests_total") - requests
    gaps = result.write_gaps[:count]
    return FailoverResult(gaps, max(gaps), attempts / max(1.0, requests))
