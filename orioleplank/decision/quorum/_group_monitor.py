"""Keeps the views of all groups: watches instances, takes reports, sends rounds."""

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

ROUND_PERIOD_S = 0.1
ROUND_SPACING_S = 0.003


class GroupMonitor:
    """The groups of all configured services."""

    def __init__(self, node: ProxyState) -> None:
        self._node = node
        self._round_at: dict[str, float] = {}
        self._addresses: dict[tuple[str, str], str] = {}

    def apply_configuration(self) -> None:
        """Watch the instances that are configured now and forget the others."""
        node = self._node
        wanted: dict[tuple[str, str], str] = {}
        for service in node.configuration.service_names():
            spec = node.service_spec(service)
            self._take_service(service, spec)
            for instance in spec.instances:
                wanted[service, instance.name] = instance.address
        for key in sorted(self._addresses.keys() - wanted.keys()):
            node.emit(CloseControlStream(*key))
        for key in sorted(wanted.keys()):
            if self._addresses.get(key) != wanted[key]:
                node.emit(OpenControlStream(*key, wanted[key]))
        self._addresses = wanted

    def _take_service(self, service: str, spec: ServiceSpec) -> None:
        node = self._node
        members = tuple(instance.name for instance in spec.instances)
        view = node.group_views.get(service) or GroupView(members, safeguards=node.safeguards)
        node.group_views[service] = change_members(view, members)
        pools = node.pools.setdefault(service, {})
        for instance in spec.instances:
            pools.setdefault(instance.name, ConnectionPool(0, 0))

    def handle_report(self, message: InstanceReported) -> bool:
        """Take in a report; tell whether it names another primary than before."""
        node = self._node
        view = node.group_views.get(message.service)
        if view is None:
            return False
        before = view.primary()
        seen = apply_report(view, message.report, message.round_number, node.now)
        node.group_views[message.service] = seen
        pools = node.pools[message.service]
        answered_at = seen.answered_round_sent_at.get(message.report.instance, 0.0)
        if message.report.instance in pools:
            pool = pools[message.report.instance]
            pools[message.report.instance] = pool.expire_uncertain(answered_at, node.now)
        after = seen.primary()
        if after is None or (before is not None and before.term == after.term):
            return False
        node.log_event(
            Event.PRIMARY_CHANGED, "take report", after.instance, f"primary of term {after.term}"
        )
        return True

    def handle_instance_unreachable(self, message: InstanceUnreachable) -> None:
        """Note that the control stream to an instance broke."""
        node = self._node
        view = node.group_views.get(message.service)
        if view is None or message.instance in view.unreachable:
            return
        node.group_views[message.service] = mark_unreachable(view, message.instance)
        node.log_event(Event.INSTANCE_UNREACHABLE, "watch instance", message.instance)

    def tick(self) -> None:
        """Send the rounds that are due."""
        for service in self._node.configuration.service_names():
            if self._node.now - self._round_at.get(service, -1.0) >= ROUND_PERIOD_S:
                self._send_round(service)

    def send_requested_rounds(self) -> None:
        """Send the rounds that held answers wait for, a few milliseconds apart at the least."""
        for service in sorted(self._node.requested_rounds):
            if self._node.now - self._round_at.get(service, -1.0) >= ROUND_SPACING_S:
                self._send_round(service)
        self._node.requested_rounds.clear()

    def _send_round(self, service: str) -> None:
        node = self._node
        view = start_probe_round(node.group_views[service], node.now)
        node.group_views[service] = view
        self._round_at[service] = node.now
        for instance in view.members:
            node.emit(ProbeInstance(service, instance, view.last_round))

    def unreachable_services(self) -> tuple[str, ...]:
        """Return the services whose groups this proxy cannot reach by majority."""
        node = self._node
        return tuple(
            service
            for service in node.configuration.service_names()
            if _count_reachable(node.group_views[service], node.now)
            < node.group_views[service].majority_size
        )

    def headless_services(self) -> tuple[str, ...]:
        """Return the services without a primary that this proxy reaches and a majority confirms."""
        node = self._node
        return tuple(
            service
            for service in node.configuration.service_names()
            if not node.group_views[service].has_confirmed_primary(node.now)
        )


def _count_reachable(view: GroupView, now: float) -> int:
    return sum(view.is_reachable(name, now) for name in view.members)
