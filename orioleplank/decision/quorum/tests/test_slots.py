"""No slot is used by two proxies despite lost or late messages and isolated proxies."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from orioleplank.decision.quorum import AllotmentSpec, InstanceSpec, Participant
from orioleplank.decision.quorum._slots import (
    ParticipantStatus,
    SlotState,
    credit_slots,
    debit_slots,
    divide_limits,
    enter_epoch,
    has_majority_contact,
    settle_epoch,
)

A, B, C, D = (Participant(f"p{n}", f"p{n}-1") for n in range(4))
INSTANCE = InstanceSpec("db", "db:1", "akl-a", slots=5, connections=30)


def make_spec(*participants: Participant, before: tuple[Participant, ...] = ()) -> AllotmentSpec:
    """Return an allotment that divides the instance among `participants`."""
    return divide_limits((INSTANCE,), participants, frozenset(before))


def make_settled(own: Participant, *participants: Participant) -> SlotState:
    """Return a state that has settled in epoch 1."""
    state = enter_epoch(SlotState(own), 1, make_spec(*participants))
    return settle_epoch(state, (), frozenset(), 0.0)


class DivideTest(TestCase):
    @given(st.integers(1, 9), st.integers(1, 40), st.integers(1, 12))
    def test_shares_add_up_to_the_limits(
        self, slots: int, connections: int, participant_count: int
    ) -> None:
        instances = tuple(
            InstanceSpec(name, f"{name}:1", "z", slots, connections) for name in ("a", "b", "c")
        )
        participants = tuple(Participant(f"p{n}", f"p{n}-1") for n in range(participant_count))
        spec = divide_limits(instances, participants, frozenset())
        for instance in instances:
            shares = [share for share in spec.shares if share.instance == instance.name]
            self.assertEqual(slots, sum(share.slots for share in shares))
            self.assertEqual(connections, sum(share.connections for share in shares))


class EpochTest(TestCase):
    def test_additional_slots_are_unusable_until_the_others_have_released_them(self) -> None:
        state = enter_epoch(make_settled(A, A, B, C), 2, make_spec(A, B, before=(A, B, C)))
        self.assertEqual(({"db": 2}, {"db": 1}), (state.held, state.pending))
        unreleased = ParticipantStatus(B.incarnation, 1, 0.0)
        state = settle_epoch(state, (unreleased,), frozenset(), 10.0)
        self.assertEqual({"db": 2}, state.held)
        released = (
            ParticipantStatus(B.incarnation, 2, 0.0),
            ParticipantStatus(C.incarnation, 2, 0.0),
        )
        state = settle_epoch(state, released, frozenset(), 10.1)
        self.assertEqual({"db": 3}, state.held)

    def test_unresponsive_participant_loses_its_slots_three_seconds_after_a_majority_released(
        self,
    ) -> None:
        state = enter_epoch(make_settled(A, A, B, C), 2, make_spec(A, B, before=(A, B, C)))
        released = (ParticipantStatus(B.incarnation, 2, 0.0),)
        state = settle_epoch(state, released, frozenset(), 10.0)
        self.assertFalse(state.settled)
        self.assertFalse(settle_epoch(state, released, frozenset(), 12.9).settled)
        self.assertTrue(settle_epoch(state, released, frozenset(), 13.0).settled)

    def test_minority_never_takes_over_slots(self) -> None:
        spec = make_spec(A, before=(A, B, C, D))
        state = enter_epoch(make_settled(A, A, B, C, D), 2, spec)
        released = (ParticipantStatus(B.incarnation, 2, 0.0),)
        self.assertFalse(settle_epoch(state, released, frozenset(), 1000.0).settled)

    def test_participants_known_to_have_ended_are_not_awaited(self) -> None:
        state = enter_epoch(make_settled(A, A, B), 2, make_spec(A, before=(A, B)))
        self.assertFalse(settle_epoch(state, (), frozenset(), 1.0).settled)
        self.assertEqual({"db": 5}, settle_epoch(state, (), frozenset({B}), 1.0).held)

    def test_new_proxy_takes_over_from_a_single_unresponsive_participant(self) -> None:
        state = enter_epoch(SlotState(B), 2, make_spec(B, before=(A,)))
        state = settle_epoch(state, (), frozenset(), 10.0)
        self.assertFalse(settle_epoch(state, (), frozenset(), 12.9).settled)
        self.assertEqual({"db": 5}, settle_epoch(state, (), frozenset(), 13.0).held)

    def test_slots_of_another_epoch_are_discarded(self) -> None:
        state = make_settled(A, A, B)
        self.assertEqual(state, credit_slots(state, "db", 2, 2))
        self.assertEqual({"db": 5}, credit_slots(state, "db", 2, 1).held)

    def test_proxy_without_a_share_discards_slots(self) -> None:
        outsider = enter_epoch(SlotState(D), 1, make_spec(A, B))
        self.assertEqual(outsider, credit_slots(outsider, "db", 1, 1))

    def test_transfer_of_more_slots_than_held_is_rejected(self) -> None:
        self.assertRaises(ValueError, debit_slots, make_settled(A, A, B), "db", 4)


class MajorityContactTest(TestCase):
    def test_slots_are_usable_only_in_contact_with_a_majority_of_the_own_epoch(self) -> None:
        state = make_settled(A, A, B, C)
        cases = {
            "in contact": (ParticipantStatus(B.incarnation, 1, 9.0), True),
            "no heartbeat for too long": (ParticipantStatus(B.incarnation, 1, 7.9), False),
            "already in a later epoch": (ParticipantStatus(B.incarnation, 2, 10.0), False),
            "not a participant": (ParticipantStatus(D.incarnation, 1, 10.0), False),
        }
        for name, (contact, usable) in cases.items():
            with self.subTest(name):
                self.assertEqual(usable, has_majority_contact(state, (contact,), 10.0))

    def test_isolated_proxy_stops_before_its_slots_are_taken_over(self) -> None:
        isolated = make_settled(C, A, B, C)
        acked_at = 10.0
        last_contact = ParticipantStatus(B.incarnation, 1, acked_at)
        self.assertFalse(has_majority_contact(isolated, (last_contact,), acked_at + 2.01))
        remaining = enter_epoch(make_settled(A, A, B, C), 2, make_spec(A, B, before=(A, B, C)))
        released = (ParticipantStatus(B.incarnation, 2, acked_at),)
        remaining = settle_epoch(remaining, released, frozenset(), acked_at)
        self.assertFalse(settle_epoch(remaining, released, frozenset(), acked_at + 2.99).settled)


class TransferTest(TestCase):
    @settings(max_examples=200)
    @given(
        st.lists(
            st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(0, 5), st.booleans()),
            max_size=40,
        )
    )
    def test_transfers_never_increase_the_sum_of_slots(
        self, transfers: list[tuple[int, int, int, bool]]
    ) -> None:
        participants = (A, B, C)
        states = [make_settled(own, *participants) for own in participants]
        lost = 0
        for sender, receiver, count, is_lost in transfers:
            sent = min(count, states[sender].usable_slots("db"))
            states[sender] = debit_slots(states[sender], "db", sent)
            if is_lost:
                lost += sent
            else:
                states[receiver] = credit_slots(states[receiver], "db", sent, 1)
            held = sum(state.usable_slots("db") for state in states)
            self.assertEqual(5, held + lost)
