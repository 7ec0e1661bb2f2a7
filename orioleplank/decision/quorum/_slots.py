"""Division of an instance's slots and connections among the proxies.

The sum over all proxies never exceeds the limits of the instance. Each slot is held by one proxy
at a time. The allotment, an object stored by the platform, defines how many slots each proxy holds
when it comes into force; its version is the epoch. Within an epoch, proxies transfer slots to each
other: the sender deducts them when it sends the message and the receiver adds them when the
message arrives, so that a lost message loses slots but never duplicates them. A later epoch
allocates all slots again: a proxy uses additional slots only after every other proxy has released
the slots that it loses, or is no longer able to use them. A proxy uses its slots only while a
majority of the participants of its epoch has answered its heartbeats of the last two seconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from orioleplank.decision.quorum._specs import AllotmentSpec, InstanceSpec, Participant, SlotShare

# A participant whose last answered heartbeat was sent longer ago does not count as in contact.
CONTACT_TIMEOUT_S = 2.0
# Time after which the slots of participants that do not answer are taken over. It is longer than
# `CONTACT_TIMEOUT_S`, so that an isolated proxy has stopped using its slots by then.
TAKEOVER_TIMEOUT_S = 3.0
# Up to this number of participants, the majority rule does not apply: one of two participants
# alone would be a minority.
MAX_PARTICIPANTS_WITHOUT_MAJORITY = 2


@dataclass(frozen=True, slots=True)
class ParticipantStatus:
    """A proxy's knowledge of another participant of an allotment."""

    # Incarnation of the other proxy.
    incarnation: str
    # Last epoch for which the other proxy has released everything that the epoch takes from it.
    released_epoch: int
    # When this proxy sent the last heartbeat that the other proxy has answered, in seconds of this
    # proxy's monotonic clock.
    acked_heartbeat_sent_at: float


@dataclass(frozen=True, slots=True)
class SlotState:
    """The slots and connections of one service that one proxy holds."""

    # This incarnation of this proxy.
    own: Participant
    # Version of the allotment in force; 0 before there is one.
    epoch: int = 0
    # Participants of the allotment in force.
    participants: frozenset[Participant] = frozenset()
    # Slots that this proxy may use, by instance.
    held: Mapping[str, int] = field(default_factory=dict)
    # Additional slots from this epoch that other proxies may still be using, by instance.
    pending: Mapping[str, int] = field(default_factory=dict)
    # Connections that this proxy may hold, by instance.
    connections: Mapping[str, int] = field(default_factory=dict)
    # Connections that it may hold once the epoch has settled, by instance.
    connections_after_settling: Mapping[str, int] = field(default_factory=dict)
    # Participants of the previous epoch.
    previous_participants: frozenset[Participant] = frozenset()
    # Other participants of earlier epochs that have not released their slots yet.
    awaited_participants: frozenset[Participant] = frozenset()
    # True once this proxy may use its whole share of the epoch.
    settled: bool = True
    # When a majority of the previous epoch had released its slots, in seconds of the proxy's
    # monotonic clock; None before.
    majority_at: float | None = None

    def usable_slots(self, instance: str) -> int:
        """Return the number of slots of an instance that may be used, 0 for unknown instances."""
        return self.held.get(instance, 0)

    @property
    def total_slots(self) -> int:
        """Slots held or pending, over all instances."""
        return sum(self.held.values()) + sum(self.pending.values())


def enter_epoch(state: SlotState, epoch: int, spec: AllotmentSpec) -> SlotState:
    """Apply a later allotment; earlier ones are ignored.

    Slots and connections that it takes away are released at once. Additional ones are pending
    until the epoch settles.
    """
    if epoch <= state.epoch:
        return state
    own_shares = {share.instance: share for share in spec.shares_of(state.own.incarnation)}
    held = {name: min(state.held.get(name, 0), share.slots) for name, share in own_shares.items()}
    pending = {name: share.slots - held[name] for name, share in own_shares.items()}
    connections = {
        name: min(state.connections.get(name, 0), share.connections)
        for name, share in own_shares.items()
    }
    previous = state.participants.union(spec.before)
    return replace(
        state,
        epoch=epoch,
        participants=spec.participants,
        held=held,
        pending=pending,
        connections=connections,
        connections_after_settling={name: share.connections for name, share in own_shares.items()},
        previous_participants=frozenset(spec.before),
        awaited_participants=previous - {state.own},
        settled=False,
        majority_at=None,
    )


def has_released_excess(
    state: SlotState, running: Mapping[str, int], connections: Mapping[str, int]
) -> bool:
    """Return whether running statements and open connections are within the current limits.

    `running` and `connections` are counts by instance.
    """
    slots_fit = all(count <= state.held.get(name, 0) for name, count in running.items())
    connections_fit = all(
        count <= state.connections.get(name, 0) for name, count in connections.items()
    )
    return slots_fit and connections_fit


def settle_epoch(
    state: SlotState,
    statuses: tuple[ParticipantStatus, ...],
    ended: frozenset[Participant],
    now: float,
) -> SlotState:
    """Make the pending slots usable once no other proxy can use them.

    That is the case when every awaited participant has released its slots or has ended. `ended`
    lists the incarnations that are known to have ended. Once a majority of the previous epoch has
    moved to this epoch or ended, no proxy can be in contact with a majority of the previous epoch,
    so that participants that have not answered within `TAKEOVER_TIMEOUT_S` have stopped using
    their slots. If the previous epoch had one or two participants, the remaining proxy takes over
    after the same time without a majority; the upstream's own limit then protects the instance.
    """
    if state.settled:
        return state
    released_incarnations = {
        status.incarnation for status in statuses if status.released_epoch >= state.epoch
    }
    released = {
        participant
        for participant in state.awaited_participants | state.previous_participants
        if participant.incarnation in released_incarnations
    } | ended
    awaited = state.awaited_participants - released
    released_previous = (released | {state.own}) & state.previous_participants
    majority_at = state.majority_at
    is_majority = (
        len(released_previous) * 2 > len(state.previous_participants)
        or len(state.previous_participants) <= MAX_PARTICIPANTS_WITHOUT_MAJORITY
    )
    if is_majority and majority_at is None:
        majority_at = now
    timed_out = majority_at is not None and now - majority_at >= TAKEOVER_TIMEOUT_S
    if awaited and not timed_out:
        return replace(state, awaited_participants=awaited, majority_at=majority_at)
    held = {
        name: state.held.get(name, 0) + state.pending.get(name, 0)
        for name in sorted({*state.held, *state.pending})
    }
    return replace(
        state,
        held=held,
        pending={},
        connections=state.connections_after_settling,
        awaited_participants=frozenset(),
        settled=True,
        majority_at=majority_at,
    )


def has_majority_contact(
    state: SlotState, statuses: tuple[ParticipantStatus, ...], now: float
) -> bool:
    """Return whether this proxy is in contact with a majority of its own epoch.

    Participants that have moved to a later epoch do not count. With one or two participants no
    contact is required, since one of two would be a minority; the upstream's own limit then
    protects the instance. Returns False for a proxy without a share.
    """
    if state.own not in state.participants:
        return False
    if len(state.participants) <= MAX_PARTICIPANTS_WITHOUT_MAJORITY:
        return True
    in_contact = {
        status.incarnation
        for status in statuses
        if status.released_epoch <= state.epoch
        and now - status.acked_heartbeat_sent_at <= CONTACT_TIMEOUT_S
    }
    reached = [
        participant for participant in state.participants if participant.incarnation in in_contact
    ]
    return (len(reached) + 1) * 2 > len(state.participants)


def debit_slots(state: SlotState, instance: str, count: int) -> SlotState:
    """Deduct slots that are sent to another participant.

    Raises `ValueError` if `count` is negative or exceeds the slots held.
    """
    remaining = state.held.get(instance, 0) - count
    if count < 0 or remaining < 0:
        raise ValueError(
            f"cannot transfer {count} slots of {instance}; held slots by instance: {state.held}"
        )
    return replace(state, held={**state.held, instance: remaining})


def credit_slots(state: SlotState, instance: str, count: int, epoch: int) -> SlotState:
    """Add slots received from another participant; slots of another epoch are discarded."""
    if epoch != state.epoch or state.own not in state.participants:
        return state
    return replace(state, held={**state.held, instance: state.held.get(instance, 0) + count})


def divide_limits(
    instances: tuple[InstanceSpec, ...],
    participants: tuple[Participant, ...],
    previous_participants: frozenset[Participant],
) -> AllotmentSpec:
    """Divide the slots and connections of each instance evenly among the participants.

    The shares of each instance add up to its limits. The participant that receives the first unit
    of a remainder rotates from instance to instance.
    """
    shares = []
    participant_count = len(participants)
    for offset, instance in enumerate(instances):
        for rank in range(participant_count):
            share = SlotShare(
                participants[(rank + offset) % participant_count],
                instance.name,
                _share(instance.slots, rank, participant_count),
                _share(instance.connections, rank, participant_count),
            )
            shares.append(share)
    return AllotmentSpec(tuple(shares), tuple(sorted(previous_participants)))


def _share(limit: int, rank: int, participant_count: int) -> int:
    return limit // participant_count + (1 if rank < limit % participant_count else 0)
