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

    def __init__(self, proxy_state: ProxyState) -> None:
        self._proxy_state = proxy_state
        self._round_sent_at: dict[str, float] = {}
        self._addresses: dict[tuple[str, str], str] = {}

    def apply_configuration(self) -> None:
        """Monitor the instances that are configured now and stop monitoring the others."""
        proxy_state = self._proxy_state
        wanted: dict[tuple[str, str], str] = {}
        for service in proxy_state.configuration.service_names():
            spec = proxy_state.service_spec(service)
            self._update_service(service, spec)
            for instance in spec.instances:
                wanted[service, instance.name] = instance.address
        for key in sorted(self._addresses.keys() - wanted.keys()):
            proxy_state.emit(CloseControlStream(*key))
        for key in sorted(wanted.keys()):
            if self._addresses.get(key) != wanted[key]:
                proxy_state.emit(OpenControlStream(*key, wanted[key]))
        self._addresses = wanted

    def _update_service(self, service: str, spec: ServiceSpec) -> None:
        proxy_state = self._proxy_state
        members = tuple(instance.name for instance in spec.instances)
        view = proxy_state.group_views.get(service) or GroupView(
            members, safeguards=proxy_state.safeguards
        )
        proxy_state.group_views[service] = change_members(view, members)
        pools = proxy_state.pools.setdefault(service, {})
        for instance in spec.instances:
            pools.setdefault(instance.name, ConnectionPool(0, 0))

    def handle_report(self, message: InstanceReported) -> bool:
        """Process a report; return whether the group now has a primary of another term."""
        proxy_state = self._proxy_state
        view = proxy_state.group_views.get(message.service)
        if view is None:
            return False
        previous_primary = view.primary()
        updated = apply_report(view, message.report, message.round_number, proxy_state.now)
        proxy_state.group_views[message.service] = updated
        pools = proxy_state.pools[message.service]
        round_sent_at = updated.answered_round_sent_at.get(message.report.instance, 0.0)
        if message.report.instance in pools:
            pool = pools[message.report.instance]
            pools[message.report.instance] = pool.expire_uncertain(round_sent_at, proxy_state.now)
        primary = updated.primary()
        if primary is None or (
            previous_primary is not None and previous_primary.term == primary.term
        ):
            return False
        proxy_state.log_event(
            Event.PRIMARY_CHANGED,
            "take report",
            primary.instance,
            f"primary of term {primary.term}",
        )
        return True

    def handle_instance_unreachable(self, message: InstanceUnreachable) -> None:
        """Record that the control stream to an instance was lost."""
        proxy_state = self._proxy_state
        view = proxy_state.group_views.get(message.service)
        if view is None or message.instance in view.unreachable:
            return
        proxy_state.group_views[message.service] = mark_unreachable(view, message.instance)
        proxy_state.log_event(Event.INSTANCE_UNREACHABLE, "watch instance", message.instance)

    def tick(self) -> None:
        """Send the regular rounds that are due."""
        for service in self._proxy_state.configuration.service_names():
            if self._proxy_state.now - self._round_sent_at.get(service, -1.0) >= ROUND_INTERVAL_S:
                self._send_round(service)

    def send_requested_rounds(self) -> None:
        """Send rounds that replies are waiting for, at least `MIN_ROUND_INTERVAL_S` apart.

        Requests that come too early are dropped.
        """
        for service in sorted(self._proxy_state.requested_rounds):
            if (
                self._proxy_state.now - self._round_sent_at.get(service, -1.0)
                >= MIN_ROUND_INTERVAL_S
            ):
                self._send_round(service)
        self._proxy_state.requested_rounds.clear()

    def _send_round(self, service: str) -> None:
        proxy_state = self._proxy_state
        view = start_probe_round(proxy_state.group_views[service], proxy_state.now)
        proxy_state.group_views[service] = view
        self._round_sent_at[service] = proxy_state.now
        for instance in view.members:
            proxy_state.emit(ProbeInstance(service, instance, view.last_round))

    def unreachable_services(self) -> tuple[str, ...]:
        """Return the services of which this proxy cannot reach a majority of the instances."""
        proxy_state = self._proxy_state
        return tuple(
            service
            for service in proxy_state.configuration.service_names()
            if _count_reachable(proxy_state.group_views[service], proxy_state.now)
            < proxy_state.group_views[service].majority_size
        )

    def headless_services(self) -> tuple[str, ...]:
        """Return the services that lack a primary reached by this proxy.

        The primary must also have been confirmed by a majority within the last second.
        """
        proxy_state = self._proxy_state
        return tuple(
            service
            for service in proxy_state.configuration.service_names()
            if not proxy_state.group_views[service].has_confirmed_primary(proxy_state.now)
        )


def _count_reachable(view: GroupView, now: float) -> int:
    return sum(view.is_reachable(name, now) for name in view.members)
