"""Runs the failovers of the services that this proxy coordinates and proposes stored changes."""

from __future__ import annotations

from orioleplank.decision.quorum._effect import Event, UpdateObject
from orioleplank.decision.quorum._failover import FailoverState, advance_failover
from orioleplank.decision.quorum._membership import (
    find_own_range,
    is_active_coordinator,
    propose_keepership,
)
from orioleplank.decision.quorum._message import PromoteAnswered, SealAnswered, Tick, UpdateEnded
from orioleplank.decision.quorum._promotion_trigger import FailoverContext
from orioleplank.decision.quorum._proxy_state import ProxyState
from orioleplank.decision.quorum._slot_manager import SlotManager
from orioleplank.decision.quorum._specs import (
    ChangeMetadata,
    ObjectKey,
    ObjectKind,
    PrimarySpec,
    Spec,
)

# Minimum time between two updates of the same object, except for the record of the primary.
UPDATE_INTERVAL_S = 1.0
# The same while no result of the previous update has arrived.
UPDATE_TIMEOUT_S = 10.0


class FailoverManager:
    """Failover coordination of all configured services on this proxy.

    Advances the failover state of each service, and updates the stored term reservations,
    allotments and primaries.
    """

    def __init__(self, proxy_state: ProxyState, slot_manager: SlotManager) -> None:
        self._proxy_state = proxy_state
        self._slot_manager = slot_manager
        self._failover_states: dict[str, FailoverState] = {}
        self._change_count = 0
        self._pending_changes: dict[ObjectKey, ChangeMetadata] = {}
        self._update_sent_at: dict[ObjectKey, float] = {}

    def tick(self) -> None:
        """Check each service: its primary, its reserved terms and its allotment."""
        for service in self._proxy_state.configuration.service_names():
            self._advance(service, Tick())
            self._reserve_terms(service)
            self._update_allotment(service)

    def handle_answer(self, message: SealAnswered | PromoteAnswered) -> None:
        """Process an instance's answer to a seal or promotion."""
        if message.service not in self._proxy_state.group_views:
            return
        self._advance(message.service, message)
        if isinstance(message, PromoteAnswered) and message.granted:
            self._publish_primary(message)

    def handle_update_ended(self, message: UpdateEnded) -> None:
        """Record that a conditional update has ended, whatever its result."""
        for key, change in list(self._pending_changes.items()):
            if change.id == message.change_id:
                del self._pending_changes[key]

    def _advance(self, service: str, message: Tick | SealAnswered | PromoteAnswered) -> None:
        proxy_state = self._proxy_state
        state = self._failover_states.get(service) or FailoverState(service)
        keepership = proxy_state.configuration.keepership(service)
        context = FailoverContext(
            proxy_state.service_spec(service),
            proxy_state.group_views[service],
            proxy_state.leaving_instances(),
            find_own_range(proxy_state.membership, keepership),
            is_active_coordinator(proxy_state.membership, service, keepership, proxy_state.now),
            proxy_state.now,
            proxy_state.random,
        )
        new_state, effects = advance_failover(state, message, context)
        self._failover_states[service] = new_state
        proxy_state.emit(*effects)

    def _reserve_terms(self, service: str) -> None:
        """Reserve terms for this incarnation if the proxy should be a failover coordinator."""
        proxy_state = self._proxy_state
        proposed = propose_keepership(
            proxy_state.membership,
            service,
            proxy_state.configuration.keepership(service),
            proxy_state.group_views[service].highest_term,
            proxy_state.now,
        )
        if proposed is not None and self._send_update(
            ObjectKey(ObjectKind.KEEPERSHIP, service), proposed
        ):
            proxy_state.log_event(Event.KEEPERSHIP_TAKEN, "reserve terms", service)

    def _update_allotment(self, service: str) -> None:
        """Store a new allotment if participants or instances changed, or slots were lost."""
        proxy_state = self._proxy_state
        keepership = proxy_state.configuration.keepership(service)
        if not is_active_coordinator(proxy_state.membership, service, keepership, proxy_state.now):
            return
        proposed = self._slot_manager.propose_allotment(service)
        if proposed is not None and self._send_update(
            ObjectKey(ObjectKind.ALLOTMENT, service), proposed
        ):
            proxy_state.log_event(Event.SLOTS_ALLOTTED, "issue slots", service)

    def _publish_primary(self, message: PromoteAnswered) -> None:
        spec = PrimarySpec(message.report.instance, message.term)
        self._send_update(ObjectKey(ObjectKind.PRIMARY, message.service), spec)

    def _send_update(self, key: ObjectKey, spec: Spec) -> bool:
        proxy_state = self._proxy_state
        sent_at = self._update_sent_at.get(key, -UPDATE_TIMEOUT_S)
        limit = UPDATE_TIMEOUT_S if key in self._pending_changes else UPDATE_INTERVAL_S
        if key.kind is not ObjectKind.PRIMARY and proxy_state.now - sent_at < limit:
            return False
        self._change_count += 1
        change = ChangeMetadata(
            f"{proxy_state.identity.incarnation}-{self._change_count}",
            proxy_state.identity.name,
            proxy_state.wall_time,
        )
        current = proxy_state.configuration.objects.get(key)
        self._pending_changes[key] = change
        self._update_sent_at[key] = proxy_state.now
        proxy_state.emit(UpdateObject(key, current.stored.version if current else 0, change, spec))
        return True
