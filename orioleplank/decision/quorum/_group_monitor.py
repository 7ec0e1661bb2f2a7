"""Maintains the views of all groups from the instances' reports and from probe rounds."""

from __future__ import annotations

from orioleplank.decision.quorum._connection_pool import ConnectionPool
from orioleplank.decision.quorum._effect import (
    CloseControlStream,
    Event,
    OpenControlStream,
    ProbeInstance,
)
from orioleplank.decision.quorum._group_view import (
    GroupView,
    apply_report,
    change_members,
    mark_unreachable,
    start_probe_round,
)
from orioleplank.decision.quorum._message import InstanceReported, InstanceUnreachable
from orioleplank.decision.quorum._proxy_state import ProxyState
from orioleplank.decision.quorum._specs import ServiceSpec

# Interval of the regular probe rounds of a group.
ROUND_INTERVAL_S = 0.1
# Minimum time between the previous round and one sent because a reply is waiting for it.
MIN_ROUND_INTERVAL_S = 0.003


class GroupMonitor:
    """Monitors the groups of all configured services.

    Opens and closes the control streams to the instances, processes their reports and sends probe
    rounds.
    """

    def __init__(self, node: ProxyState) -> None:
        self._node = node
        self._round_sent_at: dict[str, float] = {}
        self._addresses: dict[tuple[str, str], str] = {}

    def apply_configuration(self) -> None:
        """Monitor the instances that are configured now and stop monitoring the others."""
        node = self._node
        wanted: dict[tuple[str, str], str] = {}
        for service in node.configuration.service_names():
            spec = node.service_spec(service)
            self._update_service(service, spec)
            for instance in spec.instances:
                wanted[service, instance.name] = instance.address
        for key in sorted(self._addresses.keys() - wanted.keys()):
            node.emit(CloseControlStream(*key))
        for key in sorted(wanted.keys()):
            if self._addresses.get(key) != wanted[key]:
                node.emit(OpenControlStream(*key, wanted[key]))
        self._addresses = wanted

    def _update_service(self, service: str, spec: ServiceSpec) -> None:
        node = self._node
        members = tuple(instance.name for instance in spec.instances)
        view = node.group_views.get(service) or GroupView(members, safeguards=node.safeguards)
        node.group_views[service] = change_members(view, members)
        pools = node.pools.setdefault(service, {})
        for instance in spec.instances:
            pools.setdefault(instance.name, ConnectionPool(0, 0))

    def handle_report(self, message: InstanceReported) -> bool:
        """Process a report; return whether the group now has a primary of another term."""
        node = self._node
        view = node.group_views.get(message.service)
        if view is None:
            return False
        previous_primary = view.primary()
        updated = apply_report(view, message.report, message.round_number, node.now)
        node.group_views[message.service] = updated
        pools = node.pools[message.service]
        round_sent_at = updated.answered_round_sent_at.get(message.report.instance, 0.0)
        if message.report.instance in pools:
            pool = pools[message.report.instance]
            pools[message.report.instance] = pool.expire_uncertain(round_sent_at, node.now)
        primary = updated.primary()
        if primary is None or (
            previous_primary is not None and previous_primary.term == primary.term
        ):
            return False
        node.log_event(
            Event.PRIMARY_CHANGED,
            "take report",
            primary.instance,
            f"primary of term {primary.term}",
        )
        return True

    def handle_instance_unreachable(self, message: InstanceUnreachable) -> None:
        """Record that the control stream to an instance was lost."""
        node = self._node
        view = node.group_views.get(message.service)
        if view is None or message.instance in view.unreachable:
            return
        node.group_views[message.service] = mark_unreachable(view, message.instance)
        node.log_event(Event.INSTANCE_UNREACHABLE, "watch instance", message.instance)

    def tick(self) -> None:
        """Send the regular rounds that are due."""
        for service in self._node.configuration.service_names():
            if self._node.now - self._round_sent_at.get(service, -1.0) >= ROUND_INTERVAL_S:
                self._send_round(service)

    def send_requested_rounds(self) -> None:
        """Send rounds that replies are waiting for, at least `MIN_ROUND_INTERVAL_S` apart.

        Requests that come too early are dropped.
        """
        for service in sorted(self._node.requested_rounds):
            if self._node.now - self._round_sent_at.get(service, -1.0) >= MIN_ROUND_INTERVAL_S:
                self._send_round(service)
        self._node.requested_rounds.clear()

    def _send_round(self, service: str) -> None:
        node = self._node
        view = start_probe_round(node.group_views[service], node.now)
        node.group_views[service] = view
        self._round_sent_at[service] = node.now
        for instance in view.members:
            node.emit(ProbeInstance(service, instance, view.last_round))

    def unreachable_services(self) -> tuple[str, ...]:
        """Return the services of which this proxy cannot reach a majority of the instances."""
        node = self._node
        return tuple(
            service
            for service in node.configuration.service_names()
            if _count_reachable(node.group_views[service], node.now)
            < node.group_views[service].majority_size
        )

    def headless_services(self) -> tuple[str, ...]:
        """Return the services that lack a primary reached by this proxy.

        The primary must also have been confirmed by a majority within the last second.
        """
        node = self._node
        return tuple(
            service
            for service in node.configuration.service_names()
            if not node.group_views[service].has_confirmed_primary(node.now)
        )


def _count_reachable(view: GroupView, now: float) -> int:
    return sum(view.is_reachable(name, now) for name in view.members)
