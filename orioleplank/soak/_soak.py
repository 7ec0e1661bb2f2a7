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
from orioleplank.gateway._signal import sleep
from orioleplank.soak._link import FaultyLink
from orioleplank.soak._processes import ProxyProcess
from orioleplank.soak._site import LiveSite
from orioleplank.tests._site_audit import Drill
from orioleplank.tests._site_instances import SiteInstance

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


class Soak(Drill[LiveSite]):
    """Plays one seed."""

    def __init__(self, reactor: Any, seed: int, directory: Path, network: str) -> None:
        random = Random(seed)
        self._reactor = reactor
        self._seed = seed
        self._faults: Counter[str] = Counter()
        proxies = random.choice((3, 5, 7))
        # Few enough for owners of connections in every other seed.
        connections = random.choice((6 * proxies, 2 * proxies - 1))
        site = LiveSite(reactor, random, directory, network, proxies, connections)
        super().__init__(site, random, callers=2 * proxies)

    async def play(self, seconds: float) -> SoakReport:
        """Play faults for `seconds`, then calm, and audit."""
        self.site.start()
        try:
            await sleep(self._reactor, START_S)
            for caller in self.callers:
                caller.step()
            await self._play_faults(seconds)
            await self._play_calm()
        finally:
            self.is_running = False
            self.site.stop()
        return self._report()

    async def _play_faults(self, seconds: float) -> None:
        end = self.site.fabric.now + seconds
        kinds = self._list_kinds()
        while self.site.fabric.now < end:
            name = self.random.choice(sorted(kinds))
            self._faults[name] += 1
            kinds[name]()
            await sleep(self._reactor, LEAST_PAUSE_S + PAUSE_SPAN_S * self.random.random())

    async def _play_calm(self) -> None:
        site = self.site
        site.store.refused.clear()
        site.store.loses_answers, site.store.slowness = False, 0.0
        for link in self._links():
            self._heal(link)
        for proxy in site.proxies:
            proxy.resume()
        for member in site.group.members.values():
            member.is_full = member.is_deaf = member.loses_answers = False
            member.lag = 0.003
            site.bring_back(member)
        await sleep(self._reactor, CALM_S - SERVED_S)
        before = self.audit.answered
        await sleep(self._reactor, SERVED_S)
        if self.audit.answered - before < len(self.callers):
            self.audit.blame("callers are not served after the faults")

    def _report(self) -> SoakReport:
        site, audit = self.site, self.audit
        self.check_promises()
        for proxy in site.proxies:
            for code in proxy.unexplained:
                audit.blame(f"{proxy.name} ended by itself with code {code}")
            if "Traceback" in proxy.log.read_text(errors="replace"):
                audit.blame(f"{proxy.name} logged a fault of the program")
        for name, factory in site.factories.items():
            if len(factory.connections) > site.connections:
                audit.blame(f"{name} has {len(factory.connections)} connections")
        return SoakReport(
            self._seed,
            len(site.proxies),
            site.connections,
            dict(self._faults),
            audit.answered,
            audit.refused,
            sum(proxy.starts for proxy in site.proxies),
            sum(factory.refused for factory in site.factories.values()),
            audit.violations[:10],
        )

    # Faults.

    def _list_kinds(self) -> dict[str, Callable[[], None]]:
        return {
            "proxy-killed": lambda: self._proxy().kill(),
            "proxy-asked-to-end": lambda: self._proxy().ask_to_end(),
            "proxy-paused": lambda: self._proxy().pause(12.0 * self.random.random()),
            "proxy-reloads": lambda: self._proxy().send(signal.SIGHUP),
            "proxies-killed-at-once": self._kill_many,
            "proxies-rolled": self._roll,
            "store-refuses": self._refuse_store,
            "store-slow": self._slow_store,
            "store-answers-lost": self._lose_store_answers,
            "store-history-gone": self.site.store.forget_history,
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
            "configuration-changes": self.site.change_routes,
        }

    def _proxy(self) -> ProxyProcess:
        return self.random.choice(self.site.proxies)

    def _kill_many(self) -> None:
        for proxy in self.site.proxies:
            if self.random.random() < 0.7:
                proxy.kill()

    def _roll(self) -> None:
        for number, proxy in enumerate(self.site.proxies):
            self.site.fabric.after(1.3 * number, proxy.ask_to_end)

    def _refuse_store(self) -> None:
        self.site.store.refused.add("*")
        self._later(8.0 * self.random.random(), partial(self.site.store.refused.discard, "*"))

    def _slow_store(self) -> None:
        self.site.store.slowness = 0.4
        self._later(4.0, partial(setattr, self.site.store, "slowness", 0.0))

    def _lose_store_answers(self) -> None:
        self.site.store.loses_answers = True
        self._later(4.0, partial(setattr, self.site.store, "loses_answers", False))

    # Links.

    def _links(self) -> list[FaultyLink]:
        stores = [proxy.store_link for proxy in self.site.proxies if proxy.store_link is not None]
        return stores + list(self.site.instance_links.values())

    def _store_link(self) -> FaultyLink:
        link = self._proxy().store_link
        assert link is not None
        return link

    def _instance_link(self) -> FaultyLink:
        return self.random.choice(list(self.site.instance_links.values()))

    def _trouble(self, link: FaultyLink) -> None:
        match self.random.randrange(4):
            case 0:
                link.mode.delay = 0.02 + 0.3 * self.random.random()
            case 1:
                link.mode.holds_there = True
            case 2:
                link.mode.holds_back = True
            case _:
                link.mode.holds_there = link.mode.holds_back = True
        self._later(0.5 + 6.0 * self.random.random(), partial(self._heal, link))

    def _heal(self, link: FaultyLink) -> None:
        link.mode.delay = 0.0
        link.mode.holds_there = link.mode.holds_back = False

    # Instances.

    def _member(self, role: DbRole) -> SiteInstance | None:
        found = [m for m in self.site.group.members.values() if m.alive and m.role is role]
        return self.random.choice(found) if found else None

    def _all_live(self) -> bool:
        return all(member.alive for member in self.site.group.members.values())

    def _crash(self, role: DbRole) -> None:
        member = self._member(role)
        if member is not None and self._all_live():
            self.site.crash(member)
            self._later(2.0 + 6.0 * self.random.random(), partial(self.site.bring_back, member))

    def _drain_primary(self) -> None:
        member = self._member(DbRole.PRIMARY)
        if member is None or not self._all_live():
            return
        self.site.group.publish(member.name, InstanceState.DRAINING)
        self._later(7.0, partial(self._end_drained, member))

    def _end_drained(self, member: SiteInstance) -> None:
        if member.alive:
            self.site.crash(member)
            self._later(3.0, partial(self.site.bring_back, member))

    def _lag(self) -> None:
        member = self._member(DbRole.REPLICA)
        if member is not None:
            member.lag = 0.1 + self.random.random()
            self._later(5.0, partial(setattr, member, "lag", 0.003))

    def _deafen(self) -> None:
        member = self._member(DbRole.REPLICA)
        if member is not None:
            member.is_deaf = True
            self._later(4.0, partial(self._undeafen, member))

    def _undeafen(self, member: SiteInstance) -> None:
        member.is_deaf = False
        if member.alive and member.role is DbRole.REPLICA:
            self.site.group.catch_up(member.name)

    def _lose_answers(self) -> None:
        member = self.site.group.primary()
        member.loses_answers = True
        self._later(2.0, partial(setattr, member, "loses_answers", False))

    def _fill(self) -> None:
        member = self.random.choice(list(self.site.group.members.values()))
        member.is_full = True
        self._later(0.7, partial(setattr, member, "is_full", False))

    def _later(self, seconds: float, call: Callable[[], object]) -> None:
        self.site.fabric.after(seconds, call)
