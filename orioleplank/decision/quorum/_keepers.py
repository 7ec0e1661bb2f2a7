"""Keeps the primaries of all services that this proxy is a keeper of."""

from __future__ import annotations

from orioleplank.decision.quorum._allotments import Allotments
from orioleplank.decision.quorum._effect import Event, UpdateObject
from orioleplank.decision.quorum._keeper import Keeper, decide_keeper
from orioleplank.decision.quorum._membership import find_own_range, is_acting, propose_keepership
from orioleplank.decision.quorum._message import PromoteAnswered, SealAnswered, Tick, UpdateEnded
from orioleplank.decision.quorum._node import Node
from orioleplank.decision.quorum._specs import Change, Kind, ObjectKey, PrimarySpec, Spec
from orioleplank.decision.quorum._suspicion import KeeperSurroundings

UPDATE_RETRY_S = 1.0
UPDATE_LIMIT_S = 10.0


class Keepers:
    """The keepers of all configured services on this proxy."""

    def __init__(self, node: Node, allotments: Allotments) -> None:
        self._node = node
        self._allotments = allotments
        self._keepers: dict[str, Keeper] = {}
        self._changes = 0
        self._pending: dict[ObjectKey, Change] = {}
        self._sent_at: dict[ObjectKey, float] = {}

    def pass_time(self) -> None:
        """Let each keeper look at its group."""
        for service in self._node.configuration.services():
            self._decide(service, Tick())
            self._keep_range(service)
            self._keep_allotment(service)

    def take(self, message: SealAnswered | PromoteAnswered) -> None:
        """Take an instance's answer to a seal or promotion."""
        if message.service not in self._node.views:
            return
        self._decide(message.service, message)
        if isinstance(message, PromoteAnswered) and message.granted:
            self._publish(message)

    def end_update(self, message: UpdateEnded) -> None:
        """Note what became of a conditional update."""
        for key, change in list(self._pending.items()):
            if change.id == message.change_id:
                del self._pending[key]

    def _decide(self, service: str, message: Tick | SealAnswered | PromoteAnswered) -> None:
        node = self._node
        keeper = self._keepers.get(service) or Keeper(service)
        keepership = node.configuration.keepership(service)
        around = KeeperSurroundings(
            node.spec(service),
            node.views[service],
            node.leaving(),
            find_own_range(node.membership, keepership),
            is_acting(node.membership, service, keepership, node.now),
            node.now,
            node.random,
        )
        decided, effects = decide_keeper(keeper, message, around)
        self._keepers[service] = decided
        node.emit(*effects)

    def _keep_range(self, service: str) -> None:
        """Reserve terms for this run of this proxy when it should be a keeper."""
        node = self._node
        proposed = propose_keepership(
            node.membership,
            service,
            node.configuration.keepership(service),
            node.views[service].highest_term,
            node.now,
        )
        if proposed is not None and self._update(ObjectKey(Kind.KEEPERSHIP, service), proposed):
            node.note(Event.KEEPERSHIP_TAKEN, "reserve terms", service)

    def _keep_allotment(self, service: str) -> None:
        """Issue the slots again when proxies have come or gone, or slots were lost."""
        node = self._node
        keepership = node.configuration.keepership(service)
        if not is_acting(node.membership, service, keepership, node.now):
            return
        proposed = self._allotments.propose(service)
        if proposed is not None and self._update(ObjectKey(Kind.ALLOTMENT, service), proposed):
            node.note(Event.SLOTS_ALLOTTED, "issue slots", service)

    def _publish(self, message: PromoteAnswered) -> None:
        spec = PrimarySpec(message.report.instance, message.term)
        self._update(ObjectKey(Kind.PRIMARY, message.service), spec)

    def _update(self, key: ObjectKey, spec: Spec) -> bool:
        node = self._node
        sent_at = self._sent_at.get(key, -UPDATE_LIMIT_S)
        limit = UPDATE_LIMIT_S if key in self._pending else UPDATE_RETRY_S
        if key.kind is not Kind.PRIMARY and node.now - sent_at < limit:
            return False
        self._changes += 1
        change = Change(
            f"{node.identity.incarnation}-{self._changes}", node.identity.name, node.wall
        )
        accepted = node.configuration.objects.get(key)
        self._pending[key] = change
        self._sent_at[key] = node.now
        node.emit(UpdateObject(key, accepted.stored.version if accepted else 0, change, spec))
        return True
