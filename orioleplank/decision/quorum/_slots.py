"""Slots and connections of an instance, shared by all proxies and never exceeded in the sum.

Each slot of an instance is held by one proxy at a time. The allotment, an object of the platform,
says who holds how many when it comes into force; its version is the epoch. Within an epoch proxies
hand slots to each other: the giver counts them as gone when it sends them, the receiver as its own
when they come, so that a lost message loses slots and never doubles them. A later epoch issues all
of them again: a proxy takes what it gains only when every other one has given up what it loses, or
cannot use it any more. A proxy uses its slots only while a majority of the participants of its own
epoch has answered its heartbeats of the last two seconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from orioleplank.decision.quorum._specs import AllotmentSpec, InstanceSpec, Participant, SlotShare

CONTACT_S = 2.0
TAKE_AFTER_S = 3.0
FEW = 2


@dataclass(frozen=True, slots=True)
class ParticipantStatus:
    """What a proxy knows of another one that takes part in an allotment."""

    # Run of the other proxy.
    incarnation: str
    # Epoch that it has given everything up for.
    released_epoch: int
    # When this proxy sent the last heartbeat that it has answered, in seconds.
    acked_heartbeat_sent_at: float


@dataclass(frozen=True, slots=True)
class SlotState:
    """The slots of one service that one proxy holds."""

    # This run of this proxy.
    own: Participant
    # Version of the allotment in force; 0 before there is one.
    epoch: int = 0
    # Who takes part in it.
    participants: frozenset[Participant] = frozenset()
    # Slots that may be used, by instance.
    held: Mapping[str, int] = field(default_factory=dict)
    # Slots gained by the epoch that others may still use, by instance.
    pending: Mapping[str, int] = field(default_factory=dict)
    # Connections that may be held, by instance.
    connections: Mapping[str, int] = field(default_factory=dict)
    # Connections once the others have given up theirs, by instance.
    connections_gained: Mapping[str, int] = field(default_factory=dict)
    # Who took part in the epoch before.
    previous_participants: frozenset[Participant] = frozenset()
    # Those of them that have not given up theirs.
    awaited_participants: frozenset[Participant] = frozenset()
    # True once everything gained may be used.
    settled: bool = True
    # When a majority had given up theirs, in seconds; None before.
    majority_at: float | None = None

    def usable_slots(self, instance: str) -> int:
        """Return how many slots of an instance may be used."""
        return self.held.get(instance, 0)

    @property
    def total_slots(self) -> int:
        """All slots held or gained."""
        return sum(self.held.values()) + sum(self.pending.values())


def enter_epoch(state: SlotState, epoch: int, spec: AllotmentSpec) -> SlotState:
    """Take a later allotment: give up at once what it takes away, await the rest."""
    if epoch <= state.epoch:
        return state
    own = {share.instance: share for share in spec.shares_of(state.own.incarnation)}
    held = {name: min(state.held.get(name, 0), share.slots) for name, share in own.items()}
    gained = {name: share.slots - held[name] for name, share in own.items()}
    connections = {
        name: min(state.connections.get(name, 0), share.connections) for name, share in own.items()
    }
    before = state.participants.union(spec.before)
    return replace(
        state,
        epoch=epoch,
        participants=spec.participants,
        held=held,
        pending=gained,
        connections=connections,
        connections_gained={name: share.connections for name, share in own.items()},
        previous_participants=frozenset(spec.before),
        awaited_participants=before - {state.own},
        settled=False,
        majority_at=None,
    )


def has_released_excess(
    state: SlotState, running: Mapping[str, int], connections: Mapping[str, int]
) -> bool:
    """Tell whether no more runs and no more is connected than this proxy may use now."""
    slots_fit = all(count <= state.held.get(name, 0) for name, count in running.items())
    connections_fit = all(
        count <= state.connections.get(name, 0) for name, count in connections.items()
    )
    return slots_fit and connections_fit


def settle_epoch(
    state: SlotState,
    contacts: tuple[ParticipantStatus, ...],
    gone: frozenset[Participant],
    now: float,
) -> SlotState:
    """Take what the epoch gave once the others have given it up, or cannot use it any more.

    `gone` are runs that are known to have ended. Once a majority of the epoch before is in this
    one or gone, nobody finds a majority in the epoch before, so that after `TAKE_AFTER_S` whoever
    has not answered has stopped to use its slots. Where one or two took part, whoever is left
    takes over after the same time, and counts on the upstream's own limit.
    """
    if state.settled:
        return state
    arrived = {contact.incarnation for contact in contacts if contact.released_epoch >= state.epoch}
    done = {
        item
        for item in state.awaited_participants | state.previous_participants
        if item.incarnation in arrived
    } | gone
    awaited = state.awaited_participants - done
    ready = (done | {state.own}) & state.previous_participants
    majority_at = state.majority_at
    is_majority = (
        len(ready) * 2 > len(state.previous_participants) or len(state.previous_participants) <= FEW
    )
    if is_majority and majority_at is None:
        majority_at = now
    waited = majority_at is not None and now - majority_at >= TAKE_AFTER_S
    if awaited and not waited:
        return replace(state, awaited_participants=awaited, majority_at=majority_at)
    held = {
        name: state.held.get(name, 0) + state.pending.get(name, 0)
        for name in sorted({*state.held, *state.pending})
    }
    return replace(
        state,
        held=held,
        pending={},
        connections=state.connections_gained,
        awaited_participants=frozenset(),
        settled=True,
        majority_at=majority_at,
    )


def has_majority_contact(
    state: SlotState, contacts: tuple[ParticipantStatus, ...], now: float
) -> bool:
    """Tell whether this proxy is in contact with a majority of its own epoch.

    Of two participants either alone would be a minority; they count on the upstream's own limit.
    """
    if state.own not in state.participants:
        return False
    if len(state.participants) <= FEW:
        return True
    near = {
        contact.incarnation
        for contact in contacts
        if contact.released_epoch <= state.epoch
        and now - contact.acked_heartbeat_sent_at <= CONTACT_S
    }
    reached = [item for item in state.participants if item.incarnation in near]
    return (len(reached) + 1) * 2 > len(state.participants)


def debit_slots(state: SlotState, instance: str, count: int) -> SlotState:
    """Hand slots to another participant."""
    left = state.held.get(instance, 0) - count
    if count < 0 or left < 0:
        raise ValueError(f"{count} slots of {instance} cannot be given, {state.held} are held")
    return replace(state, held={**state.held, instance: left})


def credit_slots(state: SlotState, instance: str, count: int, epoch: int) -> SlotState:
    """Take slots from another participant; those of another epoch are void."""
    if epoch != state.epoch or state.own not in state.participants:
        return state
    return replace(state, held={**state.held, instance: state.held.get(instance, 0) + count})


def divide_limits(
    instances: tuple[InstanceSpec, ...],
    participants: tuple[Participant, ...],
    before: frozenset[Participant],
) -> AllotmentSpec:
    """Divide the slots and connections of each instance; what does not divide goes round.

    The shares of each instance add up to its limits.
    """
    shares = []
    parts = len(participants)
    for offset, instance in enumerate(instances):
        for rank in range(parts):
            share = SlotShare(
                participants[(rank + offset) % parts],
                instance.name,
                _share(instance.slots, rank, parts),
                _share(instance.connections, rank, parts),
            )
            shares.append(share)
    return AllotmentSpec(tuple(shares), tuple(sorted(before)))


def _share(limit: int, rank: int, parts: int) -> int:
    return limit // parts + (1 if rank < limit % parts else 0)
