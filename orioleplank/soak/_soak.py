"""One soak: random faults, also overlapping ones, in a running deployment, then an audit."""

from __future__ import annotations

import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from orioleplank.decision.accounts import ClientAccount, RateLimit
from orioleplank.decision.instances import DbRole, InstanceState
from orioleplank.gateway._notifier import sleep
from orioleplank.soak._crowd import send_crowd
from orioleplank.soak._faulty_link import FaultyLink
from orioleplank.soak._process_cluster import ProcessCluster
from orioleplank.soak._processes import CALLERS_PORT, ProxyProcess
from orioleplank.soak._store import INSTANCES_KIND, ODD_SPECS
from orioleplank.tests._audited_run import AuditedRun
from orioleplank.tests._changing_keys import ChangingKeys, FixedKey, KeySource
from orioleplank.tests._operation_audit import OperationAudit
from orioleplank.tests._simulated_instances import SimulatedInstance

# Time for all proxies to start.
STARTUP_WAIT_S = 4.0
# Time without faults at the end; it is long enough for leases of killed proxies to expire.
RECOVERY_S = 16.0
# Last part of the recovery, in which as many requests as there are callers must succeed.
SERVICE_CHECK_S = 5.0
# Minimum and random part of the time between faults; most faults last longer and overlap.
MIN_FAULT_INTERVAL_S, FAULT_INTERVAL_RANGE_S = 0.3, 2.5
# Longest lag of replicas, in seconds: more than any route accepts plus its timeout.
MAX_LONG_LAG_S = 4.0
# Routes that one change of the configuration adds, at most.
MAX_ADDED_ROUTES = 1400
# What a primary that refuses reads would tell them to wait, in seconds.
READ_RETRY_S = 0.1
# The limit of the callers' account: a fifth or less of what they send.
LIMIT = RateLimit(10.0, 10.0)


@dataclass(frozen=True, slots=True)
class SoakReport:
    """The counts and violations of one soak."""

    seed: int
    # Number of proxies, and connection limit of each instance.
    proxies: int
    connections: int
    # Number of injected faults, by kind.
    faults: dict[str, int]
    # Requests that succeeded, and requests that were refused or failed.
    answered: int
    refused: int
    # Starts of proxy processes, and connections that instances refused.
    starts: int
    connections_refused: int
    # Descriptions of the first ten violations.
    findings: list[str]
    # Statements outside transactions, and transactions, that ran at an instance.
    operations: int


class Soak(AuditedRun[ProcessCluster]):
    """The run of one seed, which determines proxies, connection limit and faults."""

    def __init__(self, reactor: Any, seed: int, directory: Path, subnet: str) -> None:
        random = Random(seed)
        self._reactor = reactor
        self._seed = seed
        self._faults: Counter[str] = Counter()
        proxies = random.choice((3, 5, 7))
        # The lower limit, in about half of the seeds, is small enough to require connection owners.
        connections = random.choice((6 * proxies, 2 * proxies - 1))
        self._operations = OperationAudit(LIMIT)
        cluster = ProcessCluster(reactor, random, directory, subnet, proxies, connections)
        # By turns the configuration has no accounts, one account that is over its limit, and
        # accounts whose keys change.
        self._has_limit = seed % 3 == 1
        keys: KeySource | None = None
        if self._has_limit:
            keys = FixedKey(cluster, ClientAccount("hot", limit=LIMIT))
        elif seed % 3 == 2:
            keys = ChangingKeys(cluster, random)
        super().__init__(cluster, random, callers=2 * proxies, keys=keys)

    async def run(self, seconds: float) -> SoakReport:
        """Inject faults for `seconds`, remove them, wait for the recovery and audit the run."""
        self.cluster.start()
        try:
            await sleep(self._reactor, STARTUP_WAIT_S)
            for caller in self.callers:
                caller.send_next()
            await self._inject_faults(seconds)
            await self._check_recovery()
        finally:
            self.is_running = False
            self.cluster.stop()
        return self._build_report()

    async def _inject_faults(self, seconds: float) -> None:
        end = self.cluster.simulator.now + seconds
        injections = self._list_faults()
        while self.cluster.simulator.now < end:
            name = self.random.choice(sorted(injections))
            self._faults[name] += 1
            injections[name]()
            await sleep(
                self._reactor, MIN_FAULT_INTERVAL_S + FAULT_INTERVAL_RANGE_S * self.random.random()
            )

    async def _check_recovery(self) -> None:
        cluster = self.cluster
        cluster.store.refused_proxies.clear()
        cluster.store.loses_answers, cluster.store.slowness = False, 0.0
        for link in self._list_links():
            self._restore_link(link)
        for proxy in cluster.proxies:
            proxy.resume()
        for member in cluster.group.members.values():
            member.is_full = member.drops_entries = member.loses_answers = False
            member.is_failing = member.resets_work = False
            member.lag, member.slowness, member.refuses_reads_for = 0.003, 1.0, 0.0
            cluster.restart_instance(member)
        await sleep(self._reactor, RECOVERY_S - SERVICE_CHECK_S)
        answered_before = self.audit.answered
        await sleep(self._reactor, SERVICE_CHECK_S)
        if self.audit.answered - answered_before < len(self.callers):
            self.audit.add_violation("callers are not served after the faults")

    def _build_report(self) -> SoakReport:
        cluster, audit = self.cluster, self.audit
        self.check_invariants()
        violation = self._operations.find_violation() if self._has_limit else None
        if violation is not None:
            audit.add_violation(violation)
        for proxy in cluster.proxies:
            for code in proxy.unexpected_exit_codes:
                audit.add_violation(f"{proxy.name} ended by itself with code {code}")
            version = proxy.find_last_version()
            if version != cluster.routes.version:
                audit.add_violation(f"{proxy.name} ends with version {version}")
            if "Traceback" in proxy.log_path.read_text(errors="replace"):
                audit.add_violation(f"{proxy.name} logged a fault of the program")
        for name, factory in cluster.instance_factories.items():
            if len(factory.connections) > cluster.connection_limit:
                audit.add_violation(f"{name} has {len(factory.connections)} connections")
        return SoakReport(
            self._seed,
            len(cluster.proxies),
            cluster.connection_limit,
            dict(self._faults),
            audit.answered,
            audit.refused,
            sum(proxy.start_count for proxy in cluster.proxies),
            sum(factory.refused_connections for factory in cluster.instance_factories.values()),
            audit.violations[:10],
            len(self._operations),
        )

    def _check_run(
        self, member: SimulatedInstance, request: str, values: dict[str, str], account: str
    ) -> None:
        super()._check_run(member, request, values, account)
        sender = self.senders.get(request)
        if sender is not None:
            caller, _, began_at, _ = sender
            self._operations.record(caller.number, began_at, self.cluster.simulator.now)

    # Faults.

    def _list_faults(self) -> dict[str, Callable[[], None]]:
        return {
            "proxy-killed": lambda: self._choose_proxy().kill(),
            "proxy-asked-to-end": lambda: self._choose_proxy().terminate(),
            "proxy-paused": lambda: self._choose_proxy().pause(12.0 * self.random.random()),
            "proxy-reloads": lambda: self._choose_proxy().send_signal(signal.SIGHUP),
            "proxies-killed-at-once": self._kill_several,
            "proxies-rolled": self._terminate_in_turn,
            "store-refuses": self._refuse_store_calls,
            "store-slow": self._delay_store_calls,
            "store-answers-lost": self._lose_store_answers,
            "store-restored": self._restore_store,
            "store-history-gone": self.cluster.store.compact_history,
            "store-link-faulty": lambda: self._disturb_link(self._choose_store_link()),
            "instance-link-faulty": lambda: self._disturb_link(self._choose_instance_link()),
            "connections-reset": lambda: self.random.choice(self._list_links()).reset_all(),
            "primary-crashes": partial(self._crash_instance, DbRole.PRIMARY),
            "replica-crashes": partial(self._crash_instance, DbRole.REPLICA),
            "primary-drains": self._drain_primary,
            "replica-lags": self._delay_replication,
            "replicas-lag-by-seconds": self._delay_replicas_by_seconds,
            "replica-deaf": self._drop_entries,
            "answers-lost": self._lose_answers,
            "instance-full": self._exhaust_connections,
            "primary-fails-work": self._fail_primary_work,
            "keys-change": self._change_keys,
            "instance-slow": self._slow_down_instance,
            "configuration-changes": self.cluster.change_routes,
            "configuration-grows": self._grow_configuration,
            "configurations-in-series": self._change_configuration_in_series,
            "odd-entry-written": self._write_odd_entry,
            "proxy-asked-twice": self._terminate_twice,
            "callers-leave": self._abort_sessions,
            "crowd-misbehaves": self._send_crowd,
        }

    def _grow_configuration(self) -> None:
        self.cluster.grow_routes(self.random.randint(1, MAX_ADDED_ROUTES))

    def _change_configuration_in_series(self) -> None:
        for number in range(self.random.randint(2, 6)):
            self._call_later(0.5 * number, self.cluster.change_routes)

    def _write_odd_entry(self) -> None:
        """Leave an entry of another writer among those of the instances for some seconds."""
        store, spec = self.cluster.store, self.random.choice(sorted(ODD_SPECS))
        name = f"i-{spec}"
        store.put(INSTANCES_KIND, name, spec)
        self.cluster.simulator.call_later(
            8.0 * self.random.random(), partial(store.delete, INSTANCES_KIND, name)
        )

    def _terminate_twice(self) -> None:
        proxy = self._choose_proxy()
        proxy.terminate()
        self.cluster.simulator.call_later(
            3.0 * self.random.random(), partial(proxy.send_signal, signal.SIGTERM)
        )

    def _send_crowd(self) -> None:
        address = self._choose_proxy().addresses.ip
        send_crowd(self._reactor, self.random, address, CALLERS_PORT)

    def _choose_proxy(self) -> ProxyProcess:
        return self.random.choice(self.cluster.proxies)

    def _kill_several(self) -> None:
        for proxy in self.cluster.proxies:
            if self.random.random() < 0.7:
                proxy.kill()

    def _terminate_in_turn(self) -> None:
        for number, proxy in enumerate(self.cluster.proxies):
            self.cluster.simulator.call_later(1.3 * number, proxy.terminate)

    def _refuse_store_calls(self) -> None:
        self.cluster.store.refused_proxies.add("*")
        self._call_later(
            8.0 * self.random.random(), partial(self.cluster.store.refused_proxies.discard, "*")
        )

    def _delay_store_calls(self) -> None:
        self.cluster.store.slowness = 0.4
        self._call_later(4.0, partial(setattr, self.cluster.store, "slowness", 0.0))

    def _lose_store_answers(self) -> None:
        self.cluster.store.loses_answers = True
        self._call_later(4.0, partial(setattr, self.cluster.store, "loses_answers", False))

    def _restore_store(self) -> None:
        self.cluster.store.refused_proxies.add("*")
        lost_s, rewrite_delay_s = 8.0 * self.random.random(), 2.0 * self.random.random()

        def come_back() -> None:
            self.cluster.store.refused_proxies.discard("*")
            self.cluster.restore_store(lost_s, rewrite_delay_s)

        self._call_later(2.0 * self.random.random(), come_back)

    # Links.

    def _list_links(self) -> list[FaultyLink]:
        stores = [
            proxy.store_link for proxy in self.cluster.proxies if proxy.store_link is not None
        ]
        return stores + list(self.cluster.instance_links.values())

    def _choose_store_link(self) -> FaultyLink:
        link = self._choose_proxy().store_link
        assert link is not None
        return link

    def _choose_instance_link(self) -> FaultyLink:
        return self.random.choice(list(self.cluster.instance_links.values()))

    def _disturb_link(self, link: FaultyLink) -> None:
        match self.random.randrange(4):
            case 0:
                link.faults.delay = 0.02 + 0.3 * self.random.random()
            case 1:
                link.faults.holds_to_target = True
            case 2:
                link.faults.holds_from_target = True
            case _:
                link.faults.holds_to_target = link.faults.holds_from_target = True
        self._call_later(0.5 + 6.0 * self.random.random(), partial(self._restore_link, link))

    def _restore_link(self, link: FaultyLink) -> None:
        link.faults.delay = 0.0
        link.faults.holds_to_target = link.faults.holds_from_target = False

    # Instances.

    def _choose_instance(self, role: DbRole) -> SimulatedInstance | None:
        candidates = [m for m in self.cluster.group.members.values() if m.alive and m.role is role]
        return self.random.choice(candidates) if candidates else None

    def _are_all_alive(self) -> bool:
        return all(member.alive for member in self.cluster.group.members.values())

    def _crash_instance(self, role: DbRole) -> None:
        member = self._choose_instance(role)
        if member is not None and self._are_all_alive():
            self.cluster.crash_instance(member)
            self._call_later(
                2.0 + 6.0 * self.random.random(), partial(self.cluster.restart_instance, member)
            )

    def _drain_primary(self) -> None:
        member = self._choose_instance(DbRole.PRIMARY)
        if member is None or not self._are_all_alive():
            return
        self.cluster.group.publish(member.name, InstanceState.DRAINING)
        self._call_later(7.0, partial(self._restart_drained, member))

    def _restart_drained(self, member: SimulatedInstance) -> None:
        if member.alive:
            self.cluster.crash_instance(member)
            self._call_later(3.0, partial(self.cluster.restart_instance, member))

    def _delay_replication(self) -> None:
        member = self._choose_instance(DbRole.REPLICA)
        if member is not None:
            member.lag = 0.1 + self.random.random()
            self._call_later(5.0, partial(setattr, member, "lag", 0.003))

    def _delay_replicas_by_seconds(self) -> None:
        """Let all replicas apply the log late while the primary refuses reads."""
        seconds = 3.0 + 4.0 * self.random.random()
        for member in self.cluster.group.members.values():
            if member.alive and member.role is DbRole.REPLICA:
                member.lag = MAX_LONG_LAG_S * self.random.random()
                self._call_later(seconds, partial(self._end_long_lag, member))
        primary = self.cluster.group.primary()
        primary.refuses_reads_for = READ_RETRY_S
        self._call_later(seconds, partial(setattr, primary, "refuses_reads_for", 0.0))

    def _end_long_lag(self, member: SimulatedInstance) -> None:
        member.lag = 0.003
        self._accept_entries(member)

    def _drop_entries(self) -> None:
        member = self._choose_instance(DbRole.REPLICA)
        if member is not None:
            member.drops_entries = True
            self._call_later(4.0, partial(self._accept_entries, member))

    def _accept_entries(self, member: SimulatedInstance) -> None:
        member.drops_entries = False
        if member.alive and member.role is DbRole.REPLICA:
            self.cluster.group.catch_up(member.name)

    def _lose_answers(self) -> None:
        member = self.cluster.group.primary()
        member.loses_answers = True
        self._call_later(2.0, partial(setattr, member, "loses_answers", False))

    def _change_keys(self) -> None:
        if isinstance(self.keys, ChangingKeys):
            self.keys.change()

    def _fail_primary_work(self) -> None:
        member = self.cluster.group.primary()
        fault = self.random.choice(("is_failing", "resets_work"))
        setattr(member, fault, True)
        self._call_later(1.0 + 7.0 * self.random.random(), partial(setattr, member, fault, False))

    def _exhaust_connections(self) -> None:
        member = self.random.choice(list(self.cluster.group.members.values()))
        member.is_full = True
        self._call_later(0.7, partial(setattr, member, "is_full", False))

    def _slow_down_instance(self) -> None:
        member = self.random.choice(list(self.cluster.group.members.values()))
        member.slowness = 2.0 + 18.0 * self.random.random()
        self._call_later(6.0, partial(setattr, member, "slowness", 1.0))

    def _abort_sessions(self) -> None:
        """Abort a third of the sessions, most of them within a request."""
        for caller in self.random.sample(self.callers, len(self.callers) // 3):
            if caller.session is not None:
                caller.session.abort_session()

    def _call_later(self, seconds: float, call: Callable[[], object]) -> None:
        self.cluster.simulator.call_later(seconds, call)
