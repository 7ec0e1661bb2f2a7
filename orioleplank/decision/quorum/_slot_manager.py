"""Keeps this proxy's slots of all services: takes epochs, asks peers for slots, hands them on."""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import replace

from orioleplank.decision.quorum._effect import CloseConnection, RequestSlots, TransferSlots
from orioleplank.decision.quorum._membership import PEER_TIMEOUT_S
from orioleplank.decision.quorum._message import (
    ConnectionId,
    SlotHolding,
    SlotsReceived,
    SlotsRequested,
)
from orioleplank.decision.quorum._proxy_state import InstanceKey, ProxyState
from orioleplank.decision.quorum._safeguards import Safeguard
from orioleplank.decision.quorum._slots import (
    ParticipantStatus,
    SlotState,
    credit_slots,
    debit_slots,
    divide_limits,
    enter_epoch,
    has_majority_contact,
    has_released_excess,
    settle_epoch,
)
from orioleplank.decision.quorum._specs import AllotmentSpec, Participant

ASK_SPACING_S = 0.01
OWED_LIMIT = 16
LEAK_AFTER_S = 3.0
ABSENT_S = 2.0
DISCONNECT_S = 0.5


class SlotManager:
    """The slots of all configured services on this proxy."""

    def __init__(self, node: ProxyState) -> None:
        self._node = node
        self._own = Participant(node.identity.name, node.identity.incarnation)
        self._states: dict[str, SlotState] = {}
        self._given_up: defaultdict[str, int] = defaultdict(int)
        self._asked_at: defaultdict[InstanceKey, float] = defaultdict(lambda: -1.0)
        self._turn: defaultdict[InstanceKey, int] = defaultdict(int)
        self._owed: defaultdict[InstanceKey, deque[str]] = defaultdict(deque)
        self._whole_at: dict[str, float] = {}
        self._started_at: float | None = None
        self._usable_at: dict[str, float] = {}

    def _state(self, service: str) -> SlotState:
        return self._states.get(service) or SlotState(self._own)

    def apply_configuration(self) -> None:
        """Enter the epochs that came with the configuration."""
        for service in self._node.configuration.service_names():
            epoch, spec = self._node.configuration.allotment(service)
            self._states[service] = enter_epoch(self._state(service), epoch, spec)
            self._apply(service)

    def tick(self) -> None:
        """Take what others have given up, and fence off slots that may not be used."""
        node = self._node
        if self._started_at is None:
            self._started_at = node.now
        for service in node.configuration.service_names():
            contacts = self._contacts(service)
            state = settle_epoch(self._state(service), contacts, self._gone(service), node.now)
            self._states[service] = state
            self._apply(service)
            self._note_given_up(service, state)

    def _contacts(self, service: str) -> tuple[ParticipantStatus, ...]:
        contacts = []
        for peer in self._node.membership.peers.values():
            epochs = [
                item.released_epoch for item in peer.heartbeat.holdings if item.service == service
            ]
            epoch = epochs[0] if epochs else 0
            contacts.append(
                ParticipantStatus(peer.heartbeat.incarnation, epoch, peer.acked_heartbeat_sent_at)
            )
        return tuple(contacts)

    def _gone(self, service: str) -> frozenset[Participant]:
        """Return who is known to have ended."""
        state = self._state(service)
        return frozenset(
            item
            for item in state.awaited_participants | state.previous_participants
            if self._is_gone(item)
        )

    def _is_gone(self, participant: Participant) -> bool:
        """Tell whether another run of the proxy is heard, or its VM is off the platform's list."""
        membership = self._node.membership
        peer = membership.peers.get(participant.proxy)
        if peer is not None and peer.heartbeat.incarnation != participant.incarnation:
            return True
        if participant.proxy == self._own.proxy:
            return participant != self._own
        listed = {vm.name for vm in membership.vms if vm.entry}
        heard = peer is not None and self._node.now - peer.received_at <= PEER_TIMEOUT_S
        return self._own.proxy in listed and participant.proxy not in listed and not heard

    def _apply(self, service: str) -> None:
        """Set the shares of the pools, and close connections above them."""
        node, state = self._node, self._state(service)
        usable = has_majority_contact(state, self._contacts(service), node.now)
        if not node.safeguards.is_enabled(Safeguard.SLOTS):
            usable = True
        connectable = self._may_stay_connected(service, usable)
        for instance, pool in node.pools[service].items():
            slots = state.usable_slots(instance) if usable else 0
            connections = state.connections.get(instance, 0) if connectable else 0
            if not node.safeguards.is_enabled(Safeguard.SLOTS):
                slots, connections = self._limits(service, instance)
            changed = replace(pool, slot_limit=slots, connection_limit=connections)
            answered_at = node.group_views[service].answered_round_sent_at.get(instance, 0.0)
            changed = changed.expire_uncertain(answered_at, node.now)
            for number in changed.excess_idle():
                changed = changed.remove(number, node.now)
                node.emit(CloseConnection(ConnectionId(service, instance, number)))
            node.pools[service][instance] = changed

    def _may_stay_connected(self, service: str, usable: bool) -> bool:
        """Tell whether connections may stay: a short pause closes none of them."""
        now = self._node.now
        if usable:
            self._usable_at[service] = now
        return now - self._usable_at.setdefault(service, now) < DISCONNECT_S

    def _limits(self, service: str, instance: str) -> tuple[int, int]:
        spec = self._node.service_spec(service).instance(instance)
        return (spec.slots, spec.connections) if spec else (0, 0)

    def _note_given_up(self, service: str, state: SlotState) -> None:
        pools = self._node.pools[service]
        running = {name: pool.used_slots for name, pool in pools.items()}
        connections = {name: pool.size for name, pool in pools.items()}
        if has_released_excess(state, running, connections):
            self._given_up[service] = state.epoch

    def holdings(self) -> tuple[SlotHolding, ...]:
        """Return what this proxy tells its peers of its slots."""
        return tuple(
            SlotHolding(service, self._given_up[service], self._state(service).total_slots)
            for service in self._node.configuration.service_names()
        )

    def services_without_slots(self) -> tuple[str, ...]:
        """Return the services of which this proxy may use no slot at all."""
        return tuple(
            service
            for service in self._node.configuration.service_names()
            if not any(pool.slot_limit for pool in self._node.pools[service].values())
        )

    # Between proxies.

    def request_needed_slots(self) -> None:
        """Ask a peer for a slot of each instance that statements wait for."""
        for key in sorted(self._node.starved_instances):
            if self._node.now - self._asked_at[key] >= ASK_SPACING_S:
                self._ask(key)
        self._node.starved_instances.clear()

    def _ask(self, key: InstanceKey) -> None:
        node, state = self._node, self._state(key.service)
        peers = [
            heard.proxy
            for heard in node.membership.running_peers(node.now)
            if Participant(heard.proxy, heard.incarnation) in state.participants
        ]
        room = self._most(key) - state.usable_slots(key.instance)
        if not peers or room <= 0 or self._own not in state.participants:
            return
        self._asked_at[key] = node.now
        self._turn[key] += 1
        peer = peers[self._turn[key] % len(peers)]
        node.emit(RequestSlots(peer, key.service, key.instance, state.epoch, room))

    def _most(self, key: InstanceKey) -> int:
        """Return how many slots one proxy may gather, so that its loss leaves the others some."""
        limit, _ = self._limits(key.service, key.instance)
        alone = len(self._state(key.service).participants) <= 1
        return limit if alone else (limit + 1) // 2

    def handle_slot_request(self, message: SlotsRequested) -> None:
        """Give a peer half of what is free, or what becomes free above a fair share."""
        state = self._state(message.service)
        key = InstanceKey(message.service, message.instance)
        names = {item.proxy for item in state.participants}
        if message.epoch != state.epoch or message.proxy not in names:
            return
        free = self._free(key)
        if free > 0 and key not in self._node.starved_instances:
            self._give(key, message.proxy, min(message.count, (free + 1) // 2))
        elif message.proxy not in self._owed[key] and len(self._owed[key]) < OWED_LIMIT:
            self._owed[key].append(message.proxy)

    def _free(self, key: InstanceKey) -> int:
        pool = self._node.pools[key.service].get(key.instance)
        return self._state(key.service).usable_slots(key.instance) - pool.used_slots if pool else 0

    def _give(self, key: InstanceKey, proxy: str, count: int) -> None:
        state = self._state(key.service)
        self._states[key.service] = debit_slots(state, key.instance, count)
        self._apply(key.service)
        self._node.emit(TransferSlots(proxy, key.service, key.instance, state.epoch, count))

    def grant_queued_requests(self, service: str) -> None:
        """Hand slots that became free to peers that have waited, down to a fair share."""
        for key, owed in self._owed.items():
            if key.service != service:
                continue
            while owed and self._free(key) > 0 and self._is_above_fair_share(key):
                self._give(key, owed.popleft(), 1)

    def _is_above_fair_share(self, key: InstanceKey) -> bool:
        state = self._state(key.service)
        limit, _ = self._limits(key.service, key.instance)
        return state.usable_slots(key.instance) > limit // max(1, len(state.participants))

    def handle_slots_received(self, message: SlotsReceived) -> None:
        """Take slots that a peer handed over."""
        state = self._state(message.service)
        self._states[message.service] = credit_slots(
            state, message.instance, message.count, message.epoch
        )
        if message.service in self._node.pools:
            self._apply(message.service)

    # The allotment object.

    def propose_allotment(self, service: str) -> AllotmentSpec | None:
        """Return the allotment that should follow the one in force, None when none is due.

        Only a proxy that has settled in the epoch in force may propose the next one, so that
        nobody is left over from an earlier epoch.
        """
        node, state = self._node, self._state(service)
        epoch, spec = node.configuration.allotment(service)
        if epoch and (state.epoch != epoch or not state.settled or not self._has_say(service)):
            return None
        wanted = self._wanted_participants(spec)
        changed = frozenset(wanted) != spec.participants
        if not changed and not self._has_leaked(service) and self._covers(service, spec):
            return None
        return divide_limits(node.service_spec(service).instances, wanted, spec.participants)

    def _has_say(self, service: str) -> bool:
        state = self._state(service)
        takes_part = self._own in state.participants
        return not takes_part or has_majority_contact(
            state, self._contacts(service), self._node.now
        )

    def _covers(self, service: str, spec: AllotmentSpec) -> bool:
        names = {instance.name for instance in self._node.service_spec(service).instances}
        return {share.instance for share in spec.shares} == names

    def _wanted_participants(self, spec: AllotmentSpec) -> tuple[Participant, ...]:
        """Return who runs, and who takes part and was heard, or not yet missed, for a while."""
        node = self._node
        running = {
            Participant(heard.proxy, heard.incarnation)
            for heard in node.membership.running_peers(node.now)
        }
        staying = {item for item in spec.participants if not self._is_absent(item)}
        return tuple(sorted({self._own} | running | staying))

    def _is_absent(self, participant: Participant) -> bool:
        """Tell whether a participant has ended, or has not been heard for long.

        A proxy that has just started has heard nobody yet, and takes nobody for absent.
        """
        if self._is_gone(participant):
            return True
        peer = self._node.membership.peers.get(participant.proxy)
        since = peer.received_at if peer is not None else self._started_at
        absent = since is not None and self._node.now - since > ABSENT_S
        return participant != self._own and absent

    def _has_leaked(self, service: str) -> bool:
        """Tell whether slots have been missing from the sum over all proxies for long."""
        node, state = self._node, self._state(service)
        totals = {self._own: state.total_slots}
        for heard in node.membership.running_peers(node.now):
            for item in heard.holdings:
                if item.service == service and item.released_epoch == state.epoch:
                    totals[Participant(heard.proxy, heard.incarnation)] = item.slots
        limit = sum(instance.slots for instance in node.service_spec(service).instances)
        missing = totals.keys() >= state.participants and sum(totals.values()) < limit
        if not missing:
            self._whole_at[service] = node.now
        return node.now - self._whole_at.setdefault(service, node.now) >= LEAK_AFTER_S
