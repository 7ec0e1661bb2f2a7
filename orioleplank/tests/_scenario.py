"""A scenario: a simulated cluster under load, fault injection, and the checks of all guarantees."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum, unique
from itertools import pairwise

from orioleplank._protos import orioleplank_common_pb2 as common
from orioleplank.decision.quorum import ObjectKey, ObjectKind, Safeguard, UpdateVerdict
from orioleplank.standin import Entry
from orioleplank.tests._clients import Client, History, Script
from orioleplank.tests._nodes import InstanceNode, ProxyNode
from orioleplank.tests._quorum_cluster import (
    CONNECTIONS_PER_INSTANCE,
    SLOTS_PER_INSTANCE,
    QuorumCluster,
)
from orioleplank.tests._scripts import (
    create_tables,
    read_current,
    read_with_max_age,
    run_repeatable_writes,
    run_slow_transactions,
    run_transactions,
    write_and_read,
)
from orioleplank.tests._simulated_platform import PLATFORM_NODE, PlatformMode

CREATE_TABLES_AT_S = 1.5
WORKLOAD_START_S = 2.0
WRITE_GAP_LIMIT_S = 7.0
IN_FORCE_LIMIT_S = 4.0
LEAVING_LIMIT_S = 3.0
LONG_HOLD_S = 4.8
SHORT_HOLD_S = 1.9
PRESET_CHECK_INTERVAL_S = 0.1
REPLICATION_LAG_S = 0.4
SETTLE_TIME_S = 1.0
POLL_INTERVAL_S = 0.25
PROXY_PAUSE_S = 2.5
INSTANCE_PAUSE_S = 3.0

ScriptMaker = Callable[[Client], Script]
ALL_SCRIPTS: tuple[ScriptMaker, ...] = (
    write_and_read,
    write_and_read,
    write_and_read,
    read_current,
    read_with_max_age,
    run_transactions,
    run_slow_transactions,
    run_repeatable_writes,
)


@unique
class Fault(Enum):
    """A fault that can be injected."""

    KILL_PROXY = "kill proxy"
    RESTART_PROXY = "restart proxy"
    PAUSE_PROXY = "freeze proxy"
    KILL_INSTANCE = "kill instance"
    RESTART_INSTANCE = "restart instance empty"
    PAUSE_INSTANCE = "freeze instance"
    CUT_TO_INSTANCE = "cut proxy>instance"
    CUT_FROM_INSTANCE = "cut instance>proxy"
    CUT_BOTH = "cut proxy<>instance"
    HOLD_LINK_LONG = "hold proxy>instance"
    HOLD_LINK_SHORT = "stall proxy>instance"
    CUT_GROUP = "cut instance<>group"
    CUT_GROUP_ONE_WAY = "cut instance>group"
    PARTITION_PAIR = "split proxy+instance off"
    CUT_PEERS = "cut proxy<>peers"
    DELAY = "delay"
    REORDER = "reorder"
    DUPLICATE = "double"
    LOSE_ANSWER = "lose answer"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_READS_LATE = "store reads late"
    STORE_LOSES_ANSWERS = "store loses answers"
    STALE_VM_LIST = "stale VM list"
    CLOCK_STEP = "clock step"


# Faults of a node, injected after it has finished handling the current message. Other faults affect
# links, the platform or clocks and are injected immediately.
NODE_FAULTS = frozenset(
    {
        Fault.KILL_PROXY,
        Fault.RESTART_PROXY,
        Fault.PAUSE_PROXY,
        Fault.KILL_INSTANCE,
        Fault.RESTART_INSTANCE,
        Fault.PAUSE_INSTANCE,
    }
)


class Scenario:
    """A simulated cluster with callers that generate load."""

    def __init__(
        self,
        seed: int,
        disabled: frozenset[Safeguard] = frozenset(),
        scripts: tuple[ScriptMaker, ...] = ALL_SCRIPTS,
        lagging: bool = True,
        proxies: int = 3,
    ) -> None:
        self.cluster = QuorumCluster(seed, proxies, disabled)
        if lagging:
            self.cluster.instances[0].lag = REPLICATION_LAG_S
        self.history = History()
        self.violations: list[str] = []
        # False if too few logs remain for any write to be acknowledged.
        self.keeps_majority = True
        self._scripts = scripts
        self._clients: list[Client] = []
        self._preset_versions: dict[str, int] = {}
        self._accepted_presets: list[tuple[float, int]] = []
        self._isolated_proxies: set[str] = set()
        self._healed_at = 0.0

    def start(self) -> None:
        """Wait for a primary, create the tables and start the callers."""
        self.cluster.simulator.run_until(CREATE_TABLES_AT_S)
        self._add_client(create_tables)
        self.cluster.simulator.run_until(WORKLOAD_START_S)
        for script in self._scripts:
            self._add_client(script)
        self.cluster.simulator.call_every(PRESET_CHECK_INTERVAL_S, self._check_presets_in_force)

    def _add_client(self, script: ScriptMaker) -> None:
        client = Client(self.cluster, self.history, len(self._clients) + 1)
        self._clients.append(client)
        client.start(script(client))

    def finish_and_check(self, timeout: float, settle_time: float = SETTLE_TIME_S) -> None:
        """Let the callers finish, then check all guarantees but progress.

        Callers that have not finished after `timeout` seconds are not waited for.
        """
        simulator = self.cluster.simulator
        for client in self._clients:
            client.stop_requested = True
        deadline = simulator.now + timeout
        while simulator.now < deadline and not all(client.finished for client in self._clients):
            simulator.run_until(simulator.now + POLL_INTERVAL_S)
        simulator.run_until(simulator.now + settle_time)
        self._check()

    # Faults.

    def heal(self) -> None:
        """End all faults that can be reverted: those of links and of the platform."""
        self.cluster.simulator.heal()
        self.cluster.platform.mode = PlatformMode.NORMAL
        self.cluster.platform.serves_stale_vms = False
        self._healed_at = self.cluster.simulator.now

    def mark_leaving(self, node: InstanceNode) -> None:
        """Mark an instance as leaving in the list of VMs, and one second later at itself."""
        node.leaving_at = self.cluster.simulator.now

        def mark_at_instance() -> None:
            node.instance.leaving = True

        self.cluster.simulator.call_later(1.0, mark_at_instance)

    def inject_fault(self, fault: Fault, node: ProxyNode, instance_node: InstanceNode) -> None:
        """Inject a fault into a proxy, an instance, their links or the platform."""
        cluster, simulator = self.cluster, self.cluster.simulator
        others = [other.name for other in cluster.instances if other is not instance_node]
        match fault:
            case Fault.KILL_PROXY:
                cluster.kill_proxy(node)
            case Fault.RESTART_PROXY:
                cluster.restart_proxy(node)
            case Fault.PAUSE_PROXY:
                simulator.pause(node.name, PROXY_PAUSE_S)
            case Fault.KILL_INSTANCE:
                cluster.kill_instance(instance_node)
            case Fault.RESTART_INSTANCE:
                cluster.restart_instance(instance_node)
            case Fault.PAUSE_INSTANCE:
                simulator.pause(instance_node.name, INSTANCE_PAUSE_S)
            case Fault.CUT_TO_INSTANCE:
                simulator.cut_link(node.name, instance_node.name)
            case Fault.CUT_FROM_INSTANCE:
                simulator.cut_link(instance_node.name, node.name)
            case Fault.CUT_BOTH:
                simulator.cut_link(node.name, instance_node.name)
                simulator.cut_link(instance_node.name, node.name)
            case Fault.HOLD_LINK_LONG:
                simulator.held_until[node.name, instance_node.name] = simulator.now + LONG_HOLD_S
            case Fault.HOLD_LINK_SHORT:
                simulator.held_until[node.name, instance_node.name] = simulator.now + SHORT_HOLD_S
            case Fault.CUT_GROUP:
                for other in others:
                    simulator.cut_link(instance_node.name, other)
                    simulator.cut_link(other, instance_node.name)
            case Fault.CUT_GROUP_ONE_WAY:
                for other in others:
                    simulator.cut_link(instance_node.name, other)
            case Fault.PARTITION_PAIR:
                self._isolated_proxies.add(node.name)
                self._partition({node.name, instance_node.name})
            case Fault.CUT_PEERS:
                self._isolated_proxies.add(node.name)
                for peer in [*cluster.proxies, simulator.nodes[PLATFORM_NODE]]:
                    simulator.cut_link(node.name, peer.name)
                    simulator.cut_link(peer.name, node.name)
            case Fault.DELAY:
                simulator.delay = 0.15
            case Fault.REORDER:
                simulator.reorders_replies = True
            case Fault.DUPLICATE:
                simulator.duplicates_replies = True
            case Fault.LOSE_ANSWER:
                simulator.cut_link(instance_node.name, node.name)
                simulator.call_later(
                    0.02, lambda: simulator.cut_links.discard((instance_node.name, node.name))
                )
            case Fault.STORE_DOWN:
                cluster.platform.mode = PlatformMode.DOWN
            case Fault.STORE_SLOW:
                cluster.platform.mode = PlatformMode.SLOW
            case Fault.STORE_READS_LATE:
                cluster.platform.mode = PlatformMode.READS_LATE
            case Fault.STORE_LOSES_ANSWERS:
                cluster.platform.mode = PlatformMode.LOSE_ANSWERS
            case Fault.STALE_VM_LIST:
                cluster.platform.serves_stale_vms = True
            case Fault.CLOCK_STEP:
                node.wall_clock_offset -= 3600.0

    def _partition(self, side: set[str]) -> None:
        """Cut all links between the nodes in `side` and all other nodes."""
        cluster = self.cluster
        other_names = [n.name for n in (*cluster.proxies, *cluster.instances) if n.name not in side]
        for inside in side:
            for outside in (*other_names, PLATFORM_NODE):
                cluster.simulator.cut_link(inside, outside)
                cluster.simulator.cut_link(outside, inside)

    # Checks.

    def _check_presets_in_force(self) -> None:
        """Check that the version of the preset in force at each proxy does not decrease.

        The version is that of the stored object that names the preset in force (`InForceSpec`).
        """
        key = ObjectKey(ObjectKind.IN_FORCE, "preset")
        for node in self.cluster.proxies:
            if not node.alive or node.stopped:
                continue
            accepted = node.proxy.status().configuration.objects.get(key)
            version = accepted.stored.version if accepted else 0
            incarnation = f"{node.name}/{node.generation}"
            if version < self._preset_versions.get(incarnation, 0):
                self.violations.append(f"{node.name} reverted to preset version {version}")
            self._preset_versions[incarnation] = version
            self._check_in_force(node, version)
        self._record_accepted_preset()

    def _record_accepted_preset(self) -> None:
        stored = self.cluster.platform.state.objects[ObjectKind.IN_FORCE.value, "preset"]
        known_versions = {version for _, version in self._accepted_presets}
        any_accepted = any(
            verdict is UpdateVerdict.ACCEPTED
            for change, verdict in self.cluster.platform.verdicts.items()
            if change.startswith("change-")
        )
        if any_accepted and stored.version not in known_versions:
            self._accepted_presets.append((self.cluster.simulator.now, stored.version))

    def _check_in_force(self, node: ProxyNode, version: int) -> None:
        """Check that presets accepted over IN_FORCE_LIMIT_S ago are in force.

        A proxy that is paused or isolated is not checked.
        """
        if node.paused or self._is_isolated(node):
            return
        for accepted_at, accepted in self._accepted_presets:
            elapsed = self.cluster.simulator.now - accepted_at
            if elapsed > IN_FORCE_LIMIT_S and version < accepted:
                self.violations.append(
                    f"{node.name} has preset version {version}, {accepted} was accepted"
                    f" {elapsed:.1f} s ago"
                )

    def _is_isolated(self, node: ProxyNode) -> bool:
        """Return whether a proxy is cut off from the platform, or was isolated and is recovering.

        It counts as recovering for IN_FORCE_LIMIT_S after the faults were healed.
        """
        cut_links = self.cluster.simulator.cut_links
        if (PLATFORM_NODE, node.name) in cut_links:
            return True
        is_recovering = self.cluster.simulator.now < self._healed_at + IN_FORCE_LIMIT_S
        return node.name in self._isolated_proxies and is_recovering

    def _check(self) -> None:
        self.violations.extend(self.history.violations)
        if self.history.unanswered_at_stop:
            self.violations.append(
                f"a graceful stop left {self.history.unanswered_at_stop} requests unanswered"
            )
        written = self._count_written()
        for write in self.history.writes:
            count = written[write.id]
            if write.acknowledged_at is not None and count == 0:
                self.violations.append(f"write {write.id} was acknowledged but is lost")
            if count > 1:
                self.violations.append(f"write {write.id} was applied {count} times")
            if write.reported_not_run and count:
                self.violations.append(f"write {write.id} ran but was reported as not run")
        self._check_leaving()
        self._check_limits()
        self._check_final_presets()

    def _count_written(self) -> Counter[str]:
        written: Counter[str] = Counter()
        for entry in self._final_log():
            ids = set()
            for payload in entry.payloads:
                for query in common.Queries.FromString(payload).queries:
                    if query.args:
                        ids.add(query.args[0].text.split("/")[0])
                    ids |= {entry.ledger_id} if entry.ledger_id else set()
            repeated = {id_ for id_ in ids if written[id_] and not entry.ledger_id}
            written.update(ids - repeated)
        return written

    def _final_log(self) -> list[Entry]:
        """Return the primary's log, or the most advanced log without a primary or a majority."""
        primary = self.cluster.primary()
        if primary is None or not self.keeps_majority:
            primary = max(self.cluster.instances, key=lambda node: node.instance.last_position)
        return primary.instance.log

    def was_write_acknowledged_since(self, time: float) -> bool:
        """Return whether a write was acknowledged after a simulated time in seconds."""
        return any((write.acknowledged_at or 0.0) > time for write in self.history.writes)

    def find_write_gap(self, start: float, end: float) -> float:
        """Return the longest time in seconds without an acknowledged write between two times."""
        times = sorted(
            write.acknowledged_at
            for write in self.history.writes
            if write.acknowledged_at is not None and start <= write.acknowledged_at <= end
        )
        boundaries = [start, *times, end]
        return max(after - before for before, after in pairwise(boundaries))

    def check_write_gap(self, gap: float) -> None:
        """Check that a gap between acknowledged writes is within WRITE_GAP_LIMIT_S."""
        if self.keeps_majority and gap > WRITE_GAP_LIMIT_S:
            self.violations.append(f"no write was acknowledged for {gap:.1f} s")

    def _check_leaving(self) -> None:
        for node in self.cluster.instances:
            late_times = [
                sent_at
                for sent_at in node.late_statement_times
                if sent_at - node.leaving_at > LEAVING_LIMIT_S
            ]
            if late_times:
                self.violations.append(
                    f"{node.name} got {len(late_times)} statements after leaving"
                )

    def _check_limits(self) -> None:
        """Check that no instance exceeded its limits of slots and connections."""
        for node in self.cluster.instances:
            if node.most_busy > SLOTS_PER_INSTANCE:
                self.violations.append(
                    f"{node.name} ran {node.most_busy} statements in {SLOTS_PER_INSTANCE} slots"
                )
            if node.most_connections > CONNECTIONS_PER_INSTANCE:
                self.violations.append(f"{node.name} had {node.most_connections} connections")

    def _check_final_presets(self) -> None:
        """Check that all running proxies ended with the stored preset version."""
        stored = self.cluster.platform.state.objects[ObjectKind.IN_FORCE.value, "preset"]
        for node in self.cluster.proxies:
            if node.alive and not node.stopped:
                version = self._preset_versions.get(f"{node.name}/{node.generation}", 0)
                if version != stored.version:
                    self.violations.append(f"{node.name} ended on preset version {version}")
