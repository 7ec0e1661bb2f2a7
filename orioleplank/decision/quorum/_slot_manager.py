"""Manages this proxy's slots of all services.

Enters the epochs of allotments, requests slots from peers, transfers slots to peers and proposes
the next allotment.
"""

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

# Minimum time between two requests for slots of the same instance.
REQUEST_INTERVAL_S = 0.01
# Requests of peers that are kept for one instance until a slot becomes free.
MAX_QUEUED_REQUESTS = 16
# Slots missing from the sum over all proxies for this time are considered lost.
LEAK_TIMEOUT_S = 3.0
# A participant without a heartbeat for longer than this is left out of the next allotment.
ABSENT_TIMEOUT_S = 2.0
# Connections are kept for this time while the proxy may not use its slots.
DISCONNECT_TIMEOUT_S = 0.5


class SlotManager:
    """The slots of all configured services on this proxy."""

    def __init__(self, proxy_state: ProxyState) -> None:
        self._proxy_state = proxy_state
        self._own = Participant(proxy_state.identity.name, proxy_state.identity.incarnation)
        self._states: dict[str, SlotState] = {}
        self._released_epochs: defaultdict[str, int] = defaultdict(int)
        self._requested_at: defaultdict[InstanceKey, float] = defaultdict(lambda: -1.0)
        self._request_counts: defaultdict[InstanceKey, int] = defaultdict(int)
        self._queued_requests: defaultdict[InstanceKey, deque[str]] = defaultdict(deque)
        self._complete_at: dict[str, float] = {}
        self._started_at: float | None = None
        self._last_usable_at: dict[str, float] = {}

    def _state(self, service: str) -> SlotState:
        return self._states.get(service) or SlotState(self._own)

    def apply_configuration(self) -> None:
        """Enter the epochs of the allotments in the current configuration."""
        for service in self._proxy_state.configuration.service_names():
            epoch, spec = self._proxy_state.configuration.allotment(service)
            self._states[service] = enter_epoch(self._state(service), epoch, spec)
            self._apply_shares(service)

    def tick(self) -> None:
        """Settle epochs, update the limits of the pools and record what has been released."""
        proxy_state = self._proxy_state
        if self._started_at is None:
            self._started_at = proxy_state.now
        for service in proxy_state.configuration.service_names():
            contacts = self._contacts(service)
            state = settle_epoch(
                self._state(service), contacts, self._ended_participants(service), proxy_state.now
            )
            self._states[service] = state
            self._apply_shares(service)
            self._record_released_epoch(service, state)

    def _contacts(self, service: str) -> tuple[ParticipantStatus, ...]:
        contacts = []
        for peer in self._proxy_state.membership.peers.values():
            epochs = [
                holding.released_epoch
                for holding in peer.heartbeat.holdings
                if holding.service == service
            ]
            epoch = epochs[0] if epochs else 0
            contacts.append(
                ParticipantStatus(peer.heartbeat.incarnation, epoch, peer.acked_heartbeat_sent_at)
            )
        return tuple(contacts)

    def _ended_participants(self, service: str) -> frozenset[Participant]:
        """Return the awaited and previous participants that are known to have ended."""
        state = self._state(service)
        return frozenset(
            participant
            for participant in state.awaited_participants | state.previous_participants
            if self._has_ended(participant)
        )

    def _has_ended(self, participant: Participant) -> bool:
        """Return whether a participant is known to have ended.

        That is so when another incarnation of its proxy has sent a heartbeat, or when its
        heartbeats have stopped and its VM is missing from the platform's list while this proxy's
        VM is on it.
        """
        membership = self._proxy_state.membership
        peer = membership.peers.get(participant.proxy)
        if peer is not None and peer.heartbeat.incarnation != participant.incarnation:
            return True
        if participant.proxy == self._own.proxy:
            return participant != self._own
        listed = {vm.name for vm in membership.vms if vm.entry}
        is_alive = peer is not None and self._proxy_state.now - peer.received_at <= PEER_TIMEOUT_S
        return self._own.proxy in listed and participant.proxy not in listed and not is_alive

    def _apply_shares(self, service: str) -> None:
        """Set the limits of the connection pools and close idle connections above them.

        The slot limits are 0 without contact to a majority of the epoch.
        """
        proxy_state, state = self._proxy_state, self._state(service)
        usable = has_majority_contact(state, self._contacts(service), proxy_state.now)
        if not proxy_state.safeguards.is_enabled(Safeguard.SLOTS):
            usable = True
        keeps_connections = self._may_keep_connections(service, usable)
        for instance, pool in proxy_state.pools[service].items():
            slots = state.usable_slots(instance) if usable else 0
            connections = state.connections.get(instance, 0) if keeps_connections else 0
            if not proxy_state.safeguards.is_enabled(Safeguard.SLOTS):
                slots, connections = self._limits(service, instance)
            changed = replace(pool, slot_limit=slots, connection_limit=connections)
            answered_at = proxy_state.group_views[service].answered_round_sent_at.get(instance, 0.0)
            changed = changed.expire_uncertain(answered_at, proxy_state.now)
            for number in changed.excess_idle():
                changed = changed.remove(number, proxy_state.now)
                proxy_state.emit(CloseConnection(ConnectionId(service, instance, number)))
            proxy_state.pools[service][instance] = changed

    def _may_keep_connections(self, service: str, usable: bool) -> bool:
        """Return whether connections may stay open.

        They stay open when the slots are unusable only for a short time.
        """
        now = self._proxy_state.now
        if usable:
            self._last_usable_at[service] = now
        return now - self._last_usable_at.setdefault(service, now) < DISCONNECT_TIMEOUT_S

    def _limits(self, service: str, instance: str) -> tuple[int, int]:
        spec = self._proxy_state.service_spec(service).instance(instance)
        return (spec.slots, spec.connections) if spec else (0, 0)

    def _record_released_epoch(self, service: str, state: SlotState) -> None:
        pools = self._proxy_state.pools[service]
        running = {name: pool.used_slots for name, pool in pools.items()}
        connections = {name: pool.size for name, pool in pools.items()}
        if has_released_excess(state, running, connections):
            self._released_epochs[service] = state.epoch

    def holdings(self) -> tuple[SlotHolding, ...]:
        """Return the slot holdings to report in heartbeats, one for each service."""
        return tuple(
            SlotHolding(service, self._released_epochs[service], self._state(service).total_slots)
            for service in self._proxy_state.configuration.service_names()
        )

    def services_without_slots(self) -> tuple[str, ...]:
        """Return the services for which this proxy may not use any slot."""
        return tuple(
            service
            for service in self._proxy_state.configuration.service_names()
            if not any(pool.slot_limit for pool in self._proxy_state.pools[service].values())
        )

    # Transfer of slots between proxies.

    def request_needed_slots(self) -> None:
        """Request slots from a peer for each instance that has statements waiting for one."""
        for key in sorted(self._proxy_state.starved_instances):
            if self._proxy_state.now - self._requested_at[key] >= REQUEST_INTERVAL_S:
                self._request_slots(key)
        self._proxy_state.starved_instances.clear()

    def _request_slots(self, key: InstanceKey) -> None:
        proxy_state, state = self._proxy_state, self._state(key.service)
        peers = [
            heartbeat.proxy
            for heartbeat in proxy_state.membership.running_peers(proxy_state.now)
            if Participant(heartbeat.proxy, heartbeat.incarnation) in state.participants
        ]
        max_count = self._max_slots(key) - state.usable_slots(key.instance)
        if not peers or max_count <= 0 or self._own not in state.participants:
            return
        self._requested_at[key] = proxy_state.now
        self._request_counts[key] += 1
        peer = peers[self._request_counts[key] % len(peers)]
        proxy_state.emit(RequestSlots(peer, key.service, key.instance, state.epoch, max_count))

    def _max_slots(self, key: InstanceKey) -> int:
        """Return the maximum number of slots that this proxy may hold of an instance.

        With other participants it is half of the instance's slots, rounded up, so that some remain
        usable if this proxy fails.
        """
        limit, _ = self._limits(key.service, key.instance)
        is_only_participant = len(self._state(key.service).participants) <= 1
        return limit if is_only_participant else (limit + 1) // 2

    def handle_slot_request(self, message: SlotsRequested) -> None:
        """Transfer up to half of the free slots, rounded up, to a peer.

        If none is free, or if statements of this proxy wait for one, the request is queued until
        slots above the fair share become free. Requests for another epoch are ignored.
        """
        state = self._state(message.service)
        key = InstanceKey(message.service, message.instance)
        names = {participant.proxy for participant in state.participants}
        if message.epoch != state.epoch or message.proxy not in names:
            return
        free_count = self._free_slots(key)
        if free_count > 0 and key not in self._proxy_state.starved_instances:
            self._transfer_slots(key, message.proxy, min(message.count, (free_count + 1) // 2))
        elif (
            message.proxy not in self._queued_requests[key]
            and len(self._queued_requests[key]) < MAX_QUEUED_REQUESTS
        ):
            self._queued_requests[key].append(message.proxy)

    def _free_slots(self, key: InstanceKey) -> int:
        pool = self._proxy_state.pools[key.service].get(key.instance)
        return self._state(key.service).usable_slots(key.instance) - pool.used_slots if pool else 0

    def _transfer_slots(self, key: InstanceKey, proxy: str, count: int) -> None:
        state = self._state(key.service)
        self._states[key.service] = debit_slots(state, key.instance, count)
        self._apply_shares(key.service)
        self._proxy_state.emit(TransferSlots(proxy, key.service, key.instance, state.epoch, count))

    def grant_queued_requests(self, service: str) -> None:
        """Transfer free slots to peers with queued requests.

        Stops when this proxy holds no more than its fair share.
        """
        for key, queue in self._queued_requests.items():
            if key.service != service:
                continue
            while queue and self._free_slots(key) > 0 and self._is_above_fair_share(key):
                self._transfer_slots(key, queue.popleft(), 1)

    def _is_above_fair_share(self, key: InstanceKey) -> bool:
        state = self._state(key.service)
        limit, _ = self._limits(key.service, key.instance)
        return state.usable_slots(key.instance) > limit // max(1, len(state.participants))

    def handle_slots_received(self, message: SlotsReceived) -> None:
        """Add slots that a peer has transferred."""
        state = self._state(message.service)
        self._states[message.service] = credit_slots(
            state, message.instance, message.count, message.epoch
        )
        if message.service in self._proxy_state.pools:
            self._apply_shares(message.service)

    # Proposal of allotments.

    def propose_allotment(self, service: str) -> AllotmentSpec | None:
        """Return the allotment that should replace the one in force, or None if none is needed.

        Only a proxy that has settled in the epoch in force may propose the next one, so that no
        participant of an earlier epoch still holds slots.
        """
        proxy_state, state = self._proxy_state, self._state(service)
        epoch, spec = proxy_state.configuration.allotment(service)
        if epoch and (state.epoch != epoch or not state.settled or not self._may_propose(service)):
            return None
        wanted = self._wanted_participants(spec)
        changed = frozenset(wanted) != spec.participants
        if not changed and not self._has_leaked(service) and self._covers_instances(service, spec):
            return None
        return divide_limits(proxy_state.service_spec(service).instances, wanted, spec.participants)

    def _may_propose(self, service: str) -> bool:
        state = self._state(service)
        takes_part = self._own in state.participants
        return not takes_part or has_majority_contact(
            state, self._contacts(service), self._proxy_state.now
        )

    def _covers_instances(self, service: str, spec: AllotmentSpec) -> bool:
        names = {instance.name for instance in self._proxy_state.service_spec(service).instances}
        return {share.instance for share in spec.shares} == names

    def _wanted_participants(self, spec: AllotmentSpec) -> tuple[Participant, ...]:
        """Return the participants for the next allotment, sorted.

        These are this proxy, all running peers, and the current participants that are not absent.
        """
        proxy_state = self._proxy_state
        running = {
            Participant(heartbeat.proxy, heartbeat.incarnation)
            for heartbeat in proxy_state.membership.running_peers(proxy_state.now)
        }
        staying = {
            participant for participant in spec.participants if not self._is_absent(participant)
        }
        return tuple(sorted({self._own} | running | staying))

    def _is_absent(self, participant: Participant) -> bool:
        """Return whether a participant has ended or has sent no heartbeat for too long.

        Without any heartbeat from a peer, the time counts from the start of this proxy: a proxy
        that has just started has not received any heartbeats yet.
        """
        if self._has_ended(participant):
            return True
        peer = self._proxy_state.membership.peers.get(participant.proxy)
        last_heartbeat_at = peer.received_at if peer is not None else self._started_at
        is_absent = (
            last_heartbeat_at is not None
            and self._proxy_state.now - last_heartbeat_at > ABSENT_TIMEOUT_S
        )
        return participant != self._own and is_absent

    def _has_leaked(self, service: str) -> bool:
        """Return whether the proxies have together held fewer slots than the limit for too long.

        While a participant has not reported its slots for this epoch, none count as missing.
        """
        proxy_state, state = self._proxy_state, self._state(service)
        totals = {self._own: state.total_slots}
        for heartbeat in proxy_state.membership.running_peers(proxy_state.now):
            for holding in heartbeat.holdings:
                if holding.service == service and holding.released_epoch == state.epoch:
                    totals[Participant(heartbeat.proxy, heartbeat.incarnation)] = holding.slots
        limit = sum(instance.slots for instance in proxy_state.service_spec(service).instances)
        is_incomplete = totals.keys() >= state.participants and sum(totals.values()) < limit
        if not is_incomplete:
            self._complete_at[service] = proxy_state.now
        return (
            proxy_state.now - self._complete_at.setdefault(service, proxy_state.now)
            >= LEAK_TIMEOUT_S
        )
