"""One soak: random faults on a live deployment, in series and overlapping, and its audit."""

from __future__ import annotations

import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from orioleplank.decision.instances import DbRole, InstanceState
from orioleplank.gateway._notifier import sleep
from orioleplank.soak._faulty_link import FaultyLink
from orioleplank.soak._process_cluster import ProcessCluster
from orioleplank.soak._processes import ProxyProcess
from orioleplank.tests._audited_run import AuditedRun
from orioleplank.tests._simulated_instances import SimulatedInstance

# Time for all proxies to be up, in seconds.
START_S = 4.0
# Time without faults at the end, in seconds: leases of proxies that died are over by then.
CALM_S = 16.0
# The last part of the calm, in which every caller has to be served, in seconds.
SERVED_S = 5.0
# Pauses between faults, in seconds; they overlap, as most last longer.
LEAST_PAUSE_S, PAUSE_SPAN_S = 0.3, 2.5


@dataclass(frozen=True, slots=True)
class SoakReport:
    """What one soak saw."""

    # Its seed.
    seed: int
    # Proxies, and connections that an instance accepts.
    proxies: int
    connections: int
    # Faults played, by kind.
    faults: dict[str, int]
    # Requests answered with success, and with a refusal or failure.
    answered: int
    refused: int
    # Starts of processes, and connections that instances refused.
    starts: int
    connections_refused: int
    # Broken promises.
    findings: list[str]


class Soak(AuditedRun[ProcessCluster]):
    """Plays one seed."""

    def __init__(self, reactor: Any, seed: int, directory: Path, subnet: str) -> None:
        random = Random(seed)
        self._reactor = reactor
        self._seed = seed
        self._faults: Counter[str] = Counter()
        proxies = random.choice((3, 5, 7))
        # Few enough for owners of connections in every other seed.
        connections = random.choice((6 * proxies, 2 * proxies - 1))
        site = ProcessCluster(reactor, random, directory, subnet, proxies, connections)
        super().__init__(site, random, callers=2 * proxies)

    async def run(self, seconds: float) -> SoakReport:
        """Play faults for `seconds`, then calm, and audit."""
        self.cluster.start()
        try:
            await sleep(self._reactor, START_S)
            for caller in self.callers:
                caller.send_next()
            await self._play_faults(seconds)
            await self._play_calm()
        finally:
            self.is_running = False
            self.cluster.stop()
        return self._report()

    async def _play_faults(self, seconds: float) -> None:
        end = self.cluster.simulator.now + seconds
        kinds = self._list_kinds()
        while self.cluster.simulator.now < end:
            name = self.random.choice(sorted(kinds))
            self._faults[name] += 1
            kinds[name]()
            await sleep(self._reactor, LEAST_PAUSE_S + PAUSE_SPAN_S * self.random.random())

    async def _play_calm(self) -> None:
        site = self.cluster
        site.store.refused_proxies.clear()
        site.store.loses_answers, site.store.slowness = False, 0.0
        for link in self._links():
            self._heal(link)
        for proxy in site.proxies:
            proxy.resume()
        for member in site.group.members.values():
            member.is_full = member.drops_entries = member.loses_answers = False
            member.lag = 0.003
            site.restart_instance(member)
        await sleep(self._reactor, CALM_S - SERVED_S)
        before = self.audit.answered
        await sleep(self._reactor, SERVED_S)
        if self.audit.answered - before < len(self.callers):
            self.audit.add_violation("callers are not served after the faults")

    def _report(self) -> SoakReport:
        site, audit = self.cluster, self.audit
        self.check_invariants()
        for proxy in site.proxies:
            for code in proxy.unexpected_exit_codes:
                audit.add_violation(f"{proxy.name} ended by itself with code {code}")
            if "Traceback" in proxy.log_path.read_text(errors="replace"):
                audit.add_violation(f"{proxy.name} logged a fault of the program")
        for name, factory in site.instance_factories.items():
            if len(factory.connections) > site.connection_limit:
                audit.add_violation(f"{name} has {len(factory.connections)} connections")
        return SoakReport(
            self._seed,
            len(site.proxies),
            site.connection_limit,
            dict(self._faults),
            audit.answered,
            audit.refused,
            sum(proxy.start_count for proxy in site.proxies),
            sum(factory.refused_connections for factory in site.instance_factories.values()),
            audit.violations[:10],
        )

    # Faults.

    def _list_kinds(self) -> dict[str, Callable[[], None]]:
        return {
            "proxy-killed": lambda: self._proxy().kill(),
            "proxy-asked-to-end": lambda: self._proxy().terminate(),
            "proxy-paused": lambda: self._proxy().pause(12.0 * self.random.random()),
            "proxy-reloads": lambda: self._proxy().send_signal(signal.SIGHUP),
            "proxies-killed-at-once": self._kill_many,
            "proxies-rolled": self._roll,
            "store-refuses": self._refuse_store,
            "store-slow": self._slow_store,
            "store-answers-lost": self._lose_store_answers,
            "store-history-gone": self.cluster.store.compact_history,
            "store-link-faulty": lambda: self._trouble(self._store_link()),
            "instance-link-faulty": lambda: self._trouble(self._instance_link()),
            "connections-reset": lambda: self.random.choice(self._links()).reset_all(),
            "primary-crashes": partial(self._crash, DbRole.PRIMARY),
            "replica-crashes": partial(self._crash, DbRole.REPLICA),
            "primary-drains": self._drain_primary,
            "replica-lags": self._lag,
            "replica-deaf": self._deafen,
            "answers-lost": self._lose_answers,
            "instance-full": self._fill,
            "configuration-changes": self.cluster.change_routes,
        }

    def _proxy(self) -> ProxyProcess:
        return self.random.choice(self.cluster.proxies)

    def _kill_many(self) -> None:
        for proxy in self.cluster.proxies:
            if self.random.random() < 0.7:
                proxy.kill()

    def _roll(self) -> None:
        for number, proxy in enumerate(self.cluster.proxies):
            self.cluster.simulator.call_later(1.3 * number, proxy.terminate)

    def _refuse_store(self) -> None:
        self.cluster.store.refused_proxies.add("*")
        self._later(
            8.0 * self.random.random(), partial(self.cluster.store.refused_proxies.discard, "*")
        )

    def _slow_store(self) -> None:
        self.cluster.store.slowness = 0.4
        self._later(4.0, partial(setattr, self.cluster.store, "slowness", 0.0))

    def _lose_store_answers(self) -> None:
        self.cluster.store.loses_answers = True
        self._later(4.0, partial(setattr, self.cluster.store, "loses_answers", False))

    # Links.

    def _links(self) -> list[FaultyLink]:
        stores = [
            proxy.store_link for proxy in self.cluster.proxies if proxy.store_link is not None
        ]
        return stores + list(self.cluster.instance_links.values())

    def _store_link(self) -> FaultyLink:
        link = self._proxy().store_link
        assert link is not None
        return link

    def _instance_link(self) -> FaultyLink:
        return self.random.choice(list(self.cluster.instance_links.values()))

    def _trouble(self, link: FaultyLink) -> None:
        match self.random.randrange(4):
            case 0:
                link.faults.delay = 0.02 + 0.3 * self.random.random()
            case 1:
                link.faults.holds_to_target = True
            case 2:
                link.faults.holds_from_target = True
            case _:
                link.faults.holds_to_target = link.faults.holds_from_target = True
        self._later(0.5 + 6.0 * self.random.random(), partial(self._heal, link))

    def _heal(self, link: FaultyLink) -> None:
        link.faults.delay = 0.0
        link.faults.holds_to_target = link.faults.holds_from_target = False

    # Instances.

    def _member(self, role: DbRole) -> SimulatedInstance | None:
        found = [m for m in self.cluster.group.members.values() if m.alive and m.role is role]
        return self.random.choice(found) if found else None

    def _all_live(self) -> bool:
        return all(member.alive for member in self.cluster.group.members.values())

    def _crash(self, role: DbRole) -> None:
        member = self._member(role)
        if member is not None and self._all_live():
            self.cluster.crash_instance(member)
            self._later(
                2.0 + 6.0 * self.random.random(), partial(self.cluster.restart_instance, member)
            )

    def _drain_primary(self) -> None:
        member = self._member(DbRole.PRIMARY)
        if member is None or not self._all_live():
            return
        self.cluster.group.publish(member.name, InstanceState.DRAINING)
        self._later(7.0, partial(self._end_drained, member))

    def _end_drained(self, member: SimulatedInstance) -> None:
        if member.alive:
            self.cluster.crash_instance(member)
            self._later(3.0, partial(self.cluster.restart_instance, member))

    def _lag(self) -> None:
        member = self._member(DbRole.REPLICA)
        if member is not None:
            member.lag = 0.1 + self.random.random()
            self._later(5.0, partial(setattr, member, "lag", 0.003))

    def _deafen(self) -> None:
        member = self._member(DbRole.REPLICA)
        if member is not None:
            member.drops_entries = True
            self._later(4.0, partial(self._undeafen, member))

    def _undeafen(self, member: SimulatedInstance) -> None:
        member.drops_entries = False
        if member.alive and member.role is DbRole.REPLICA:
            self.cluster.group.catch_up(member.name)

    def _lose_answers(self) -> None:
        member = self.cluster.group.primary()
        member.loses_answers = True
        self._later(2.0, partial(setattr, member, "loses_answers", False))

    def _fill(self) -> None:
        member = self.random.choice(list(self.cluster.group.members.values()))
        member.is_full = True
        self._later(0.7, partial(setattr, member, "is_full", False))

    def _later(self, seconds: float, call: Callable[[], object]) -> None:
        self.cluster.simulator.call_later(seconds, call)
