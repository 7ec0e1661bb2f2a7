"""Many faults at once on a site; every answer is audited."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

from orioleplank.decision.instances import DbRole, InstanceState
from orioleplank.tests._audited_run import Audit, AuditedRun
from orioleplank.tests._gateway_cluster import GatewayCluster, GatewayNode
from orioleplank.tests._simulated_instances import SimulatedInstance
from orioleplank.tests._simulated_store import STORE_NODE

START_S = 3.0
STORM_S = 40.0
CALM_S = 25.0


class RandomFaultRun(AuditedRun[GatewayCluster]):
    """A site under random faults."""

    def __init__(
        self, seed: int, proxies: int = 4, callers: int = 10, connection_limit: int = 30
    ) -> None:
        super().__init__(GatewayCluster(seed, proxies, connection_limit), Random(seed), callers)

    def run(self) -> Audit:
        """Play the storm, then calm, and audit."""
        self.cluster.run_for(START_S)
        for caller in self.callers:
            caller.send_next()
        self._plan_faults()
        self.cluster.run_for(STORM_S)
        self._end_faults()
        self.cluster.run_for(CALM_S)
        answered = self.audit.answered
        self.cluster.run_for(5.0)
        if self.audit.answered - answered < len(self.callers):
            self.audit.add_violation("callers are not served after the storm")
        self.check_invariants()
        return self.audit

    # Faults.

    def _plan_faults(self) -> None:
        kinds: tuple[Callable[[], None], ...] = (
            self._crash_primary,
            self._crash_replica,
            self._cut_primary,
            self._cut_store,
            self._cut_proxies,
            self._freeze_proxy,
            self._suspend_proxy,
            self._kill_proxy,
            self._kill_all,
            self._stop_store,
            self._refuse_some,
            self._lose_store_answers,
            self._slow_store,
            self._forget_history,
            self._lag_replica,
            self._deafen_replica,
            self._lose_answers,
            self._drain_primary,
            self._fill_instance,
            self._change_routes,
        )
        at = 1.0
        while at < STORM_S - 6.0:
            self.cluster.simulator.call_later(at, self.random.choice(kinds))
            at += 0.5 + 4.0 * self.random.random()

    def _end_faults(self) -> None:
        site = self.cluster
        site.simulator.heal()
        site.store.refused_proxies.clear()
        site.store.loses_answers, site.store.slowness = False, 0.0
        for member in list(site.group.members.values()):
            member.is_full = member.drops_entries = member.loses_answers = False
            member.lag = 0.003
            self._return_instance(member)
        for node in site.proxies:
            if not node.alive:
                site.start_proxy(node)

    def _member(self, role: DbRole) -> SimulatedInstance | None:
        found = [m for m in self.cluster.group.members.values() if m.alive and m.role is role]
        return self.random.choice(found) if found else None

    def _crash(self, role: DbRole) -> None:
        member = self._member(role)
        living = [m for m in self.cluster.group.members.values() if m.alive]
        if member is None or len(living) < 3:
            return
        self.cluster.crash_instance(member.name)
        self._later(2.0 + 6.0 * self.random.random(), partial(self._return_instance, member))

    def _crash_primary(self) -> None:
        self._crash(DbRole.PRIMARY)

    def _crash_replica(self) -> None:
        self._crash(DbRole.REPLICA)

    def _return_instance(self, member: SimulatedInstance) -> None:
        if not member.alive:
            self.cluster.restart_instance(member.name)

    def _cut_primary(self) -> None:
        primary = self.cluster.group.primary()
        share = self.random.sample(self.cluster.proxies, self.random.randint(1, 3))
        one_way = self.random.random() < 0.3
        for node in share:
            self._cut(node.name, primary.name, one_way)
            node.dialer.break_connections(primary.name) if self.random.random() < 0.3 else None

    def _cut_store(self) -> None:
        self._cut(self._proxy().name, STORE_NODE, False)

    def _cut_proxies(self) -> None:
        one = self._proxy()
        for other in self.cluster.proxies:
            if other is not one and self.random.random() < 0.7:
                self._cut(one.name, other.name, False)

    def _cut(self, one: str, other: str, one_way: bool) -> None:
        fabric = self.cluster.simulator
        pairs = [(one, other)] if one_way else [(one, other), (other, one)]
        fabric.cut_links.update(pairs)
        heal = partial(fabric.cut_links.difference_update, pairs)
        self._later(1.0 + 8.0 * self.random.random(), heal)

    def _proxy(self) -> GatewayNode:
        return self.random.choice(self.cluster.proxies)

    def _freeze_proxy(self) -> None:
        self.cluster.simulator.pause(self._proxy().name, 0.5 + 12.0 * self.random.random())

    def _suspend_proxy(self) -> None:
        node, seconds = self._proxy(), 12.0 * self.random.random()
        self.cluster.simulator.pause(node.name, seconds)

    def _kill_proxy(self) -> None:
        self._kill(self._proxy())

    def _kill(self, node: GatewayNode) -> None:
        if not node.alive:
            return
        self.cluster.kill_proxy(node)
        self._later(0.3 + 3.0 * self.random.random(), partial(self._restart, node))

    def _restart(self, node: GatewayNode) -> None:
        if not node.alive:
            self.cluster.start_proxy(node)

    def _kill_all(self) -> None:
        if self.random.random() < 0.3:
            for node in self.cluster.proxies:
                self._kill(node)

    def _stop_store(self) -> None:
        self.cluster.store.refused_proxies.add("*")
        stop = partial(self.cluster.store.refused_proxies.discard, "*")
        self._later(1.0 + 10.0 * self.random.random(), stop)

    def _refuse_some(self) -> None:
        name = self._proxy().name
        self.cluster.store.refused_proxies.add(name)
        self._later(
            12.0 * self.random.random(), partial(self.cluster.store.refused_proxies.discard, name)
        )

    def _lose_store_answers(self) -> None:
        self.cluster.store.loses_answers = True
        self._later(4.0, partial(setattr, self.cluster.store, "loses_answers", False))

    def _slow_store(self) -> None:
        self.cluster.store.slowness = 0.4
        self._later(4.0, partial(setattr, self.cluster.store, "slowness", 0.0))

    def _forget_history(self) -> None:
        self.cluster.store.compact_history()

    def _lag_replica(self) -> None:
        member = self._member(DbRole.REPLICA)
        if member is not None:
            member.lag = 0.1 + self.random.random()
            self._later(5.0, partial(setattr, member, "lag", 0.003))

    def _deafen_replica(self) -> None:
        member = self._member(DbRole.REPLICA)
        if member is not None:
            member.drops_entries = True
            self._later(4.0, partial(self._undeafen, member))

    def _undeafen(self, member: SimulatedInstance) -> None:
        if member.alive and member.role is DbRole.REPLICA:
            self.cluster.group.catch_up(member.name)
        member.drops_entries = False

    def _lose_answers(self) -> None:
        member = self.cluster.group.primary()
        member.loses_answers = True
        self._later(2.0, partial(setattr, member, "loses_answers", False))

    def _fill_instance(self) -> None:
        member = self.random.choice(list(self.cluster.group.members.values()))
        member.is_full = True
        self._later(0.7, partial(setattr, member, "is_full", False))

    def _drain_primary(self) -> None:
        primary = self.cluster.group.primary()
        living = [m for m in self.cluster.group.members.values() if m.alive]
        if len(living) < 3:
            return
        self.cluster.drain_instance(primary.name)
        self._later(7.0, partial(self._end_drained, primary))

    def _end_drained(self, member: SimulatedInstance) -> None:
        if not member.alive or member.directory_entry.state is not InstanceState.DRAINING:
            return
        self.cluster.crash_instance(member.name)
        self._later(3.0, partial(self._return_instance, member))

    def _change_routes(self) -> None:
        self.cluster.change_routes(*self.cluster.routes.routes.values())

    def _later(self, seconds: float, call: Callable[[], object]) -> None:
        def make() -> None:
            call()

        self.cluster.simulator.call_later(seconds, make)
