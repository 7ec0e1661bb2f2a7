"""Processor time per statement of real proxies: `python -m orioleplank.bench.statements`.

Callers send statements one after the other over loopback; the instances and the store are those of
the soak. With a connection limit below two connections a proxy, connection owners run the
statements of the others, so that the forwarded path is measured.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

import psutil
from twisted.internet.defer import Deferred

from orioleplank._reactor import get_reactor
from orioleplank.decision.session import Read, Reply, Statement, Write
from orioleplank.gateway._notifier import sleep
from orioleplank.soak._process_cluster import ProcessCluster
from orioleplank.tests._gateway_cluster import QUOTES

# Time for the proxies to start, register and learn the primaries.
START_S = 4.0
# One statement in this many is a write.
WRITE_INTERVAL = 5
SUBNET = "127.96.1"


class _Load:
    """Sends statements in a closed loop on each session, and counts the answers."""

    def __init__(self, cluster: ProcessCluster, sessions_per_proxy: int) -> None:
        self._cluster = cluster
        self._sent = 0
        self.answered = 0
        self.refused = 0
        for proxy in cluster.proxies:
            for _ in range(sessions_per_proxy):
                self._open_session(proxy)

    def _open_session(self, proxy: Any) -> None:
        caller = self._cluster.open_session(proxy, QUOTES)

        def handle_reply(reply: Reply) -> None:
            if reply.failure is None:
                self.answered += 1
            else:
                self.refused += 1
            self._cluster.send_request(caller, self._next_statement())

        caller.on_reply = handle_reply
        self._cluster.send_request(caller, self._next_statement())

    def _next_statement(self) -> Statement:
        self._sent += 1
        item = f"q{self._sent % 100}"
        return Write(f"{item} oak") if self._sent % WRITE_INTERVAL == 0 else Read(item)


def _processor_seconds(cluster: ProcessCluster) -> float:
    times = [psutil.Process(proxy.pid).cpu_times() for proxy in cluster.proxies]
    return float(sum(item.user + item.system for item in times))


async def _measure(options: argparse.Namespace, directory: Path) -> dict[str, object]:
    reactor = get_reactor()
    cluster = ProcessCluster(
        reactor, Random(1), directory, SUBNET, options.proxies, options.connections
    )
    cluster.start()
    try:
        await sleep(reactor, START_S)
        idle_from = _processor_seconds(cluster)
        started_at = time.monotonic()
        load = _Load(cluster, options.sessions)
        await sleep(reactor, options.seconds)
        processor_seconds = _processor_seconds(cluster) - idle_from
        elapsed = time.monotonic() - started_at
    finally:
        cluster.stop()
    return {
        "statements": load.answered,
        "refused": load.refused,
        "statements_per_second": round(load.answered / elapsed, 1),
        "processor_ms_per_statement": round(1000 * processor_seconds / max(1, load.answered), 3),
    }


def main() -> int:
    """Measure once and print the result as one line of JSON."""
    parser = argparse.ArgumentParser(
        prog="python -m orioleplank.bench.statements", description=__doc__
    )
    parser.add_argument("--proxies", type=int, default=1)
    parser.add_argument("--connections", type=int, default=30, help="limit of an instance")
    parser.add_argument("--sessions", type=int, default=4, help="sessions a proxy")
    parser.add_argument("--seconds", type=float, default=5.0)
    options = parser.parse_args()
    reactor = get_reactor()
    result: dict[str, object] = {}

    async def run(directory: Path) -> None:
        result.update(await _measure(options, directory))

    with tempfile.TemporaryDirectory() as directory:
        measuring = Deferred.fromCoroutine(run(Path(directory)))
        measuring.addErrback(lambda failure: failure.printTraceback())
        measuring.addBoth(lambda _: reactor.stop())
        reactor.run()
    print(json.dumps(result), flush=True)
    return 0 if result else 1


if __name__ == "__main__":
    sys.exit(main())
