"""Keeps the primaries of all services that this proxy is a keeper of."""

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

UPDATE_RETRY_S = 1.0
UPDATE_LIMIT_S = 10.0


class FailoverManager:
    """The keepers of all configured services on this proxy."""

    def __init__(self, node: ProxyState, allotments: SlotManager) -> None:
        self._node = node
        self._allotments = allotments
        self._keepers: dict[str, FailoverState] = {}
        self._changes = 0
        self._pending: dict[ObjectKey, ChangeMetadata] = {}
        self._sent_at: dict[ObjectKey, float] = {}

    def tick(self) -> None:
        """Let each keeper look at its group."""
        for service in self._node.configuration.service_names():
            self._decide(service, Tick())
            self._keep_range(service)
            self._keep_allotment(service)

    def handle_answer(self, message: SealAnswered | PromoteAnswered) -> None:
        """Take an instance's answer to a seal or promotion."""
        if message.service not in self._node.group_views:
            return
        self._decide(message.service, message)
        if isinstance(message, PromoteAnswered) and message.granted:
            self._publish(message)

    def handle_update_ended(self, message: UpdateEnded) -> None:
        """Note what became of a conditional update."""
        for key, change in list(self._pending.items()):
            if change.id == message.change_id:
                del self._pending[key]

    def _decide(self, service: str, message: Tick | SealAnswered | PromoteAnswered) -> None:
        node = self._node
        keeper = self._keepers.get(service) or FailoverState(service)
        keepership = node.configuration.keepership(service)
        around = FailoverContext(
            node.service_spec(service),
            node.group_views[service],
            node.leaving_instances(),
            find_own_range(node.membership, keepership),
            is_active_coordinator(node.membership, service, keepership, node.now),
            node.now,
            node.random,
        )
        decided, effects = advance_failover(keeper, message, around)
        self._keepers[service] = decided
        node.emit(*effects)

    def _keep_range(self, service: str) -> None:
        """Reserve terms for this run of this proxy when it should be a keeper."""
        node = self._node
        proposed = propose_keepership(
            node.membership,
            service,
            node.configuration.keepership(service),
            node.group_views[service].highest_term,
            node.now,
        )
        if proposed is not None and self._update(
            ObjectKey(ObjectKind.KEEPERSHIP, service), proposed
        ):
            node.log_event(Event.KEEPERSHIP_TAKEN, "reserve terms", service)

    def _keep_allotment(self, service: str) -> None:
        """Issue the slots again when proxies have come or gone, or slots were lost."""
        node = self._node
        keepership = node.configuration.keepership(service)
        if not is_active_coordinator(node.membership, service, keepership, node.now):
            return
        proposed = self._allotments.propose_allotment(service)
        if proposed is not None and self._update(
            ObjectKey(ObjectKind.ALLOTMENT, service), proposed
        ):
            node.log_event(Event.SLOTS_ALLOTTED, "issue slots", service)

    def _publish(self, message: PromoteAnswered) -> None:
        spec = PrimarySpec(message.report.instance, message.term)
        self._update(ObjectKey(ObjectKind.PRIMARY, message.service), spec)

    def _update(self, key: ObjectKey, spec: Spec) -> bool:
        node = self._node
        sent_at = self._sent_at.get(key, -UPDATE_LIMIT_S)
        limit = UPDATE_LIMIT_S if key in self._pending else UPDATE_RETRY_S
        if key.kind is not ObjectKind.PRIMARY and node.now - sent_at < limit:
            return False
        self._changes += 1
        change = ChangeMetadata(
            f"{node.identity.incarnation}-{self._changes}", node.identity.name, node.wall_time
        )
        accepted = node.configuration.objects.get(key)
        self._pending[key] = change
        self._sent_at[key] = node.now
        node.emit(UpdateObject(key, accepted.stored.version if accepted else 0, change, spec))
        return True
