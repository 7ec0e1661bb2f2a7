"""The asking side: whom a proxy asks for permits, and what it does with them."""

from __future__ import annotations

import testtools

from orioleplank.decision.accounts import RateLimit
from orioleplank.decision.membership import Fleet, PermitGrant, ProxyRecord
from orioleplank.decision.quota import (
    PERMIT_LIFETIME_S,
    CoordinatorTable,
    OverLimit,
    Permit,
    PermitDecision,
    PermitHolder,
    PermitOrder,
    Unavailable,
)

LIMIT = RateLimit(10.0, 10.0)
NAMES = tuple(f"p-{number}" for number in range(8))


class HolderTest(testtools.TestCase):
    """A proxy that is no coordinator of the account."""

    def setUp(self) -> None:
        super().setUp()
        records = {name: ProxyRecord(name, f"{name}-1", "10.0.0.1:1", "a") for name in NAMES}
        table = CoordinatorTable("own", "own-1")
        table.apply_fleet(Fleet(records), {}, 0.0)
        self.holder = PermitHolder("own", table)
        self.decisions: list[PermitDecision] = []

    def request(self, now: float, count: int = 1) -> tuple[PermitOrder, ...]:
        """Request permits for operations; return what is asked for."""
        for _ in range(count):
            self.holder.request("hot", LIMIT, self.decisions.append, now)
        return self.holder.collect_orders(now)

    def answer(
        self, order: PermitOrder, asked_at: float, now: float, count: int, wait: float = 0.0
    ) -> tuple[PermitOrder, ...]:
        """Apply an answer; return what is asked for next."""
        grant = PermitGrant("hot", count, wait)
        self.holder.handle_grant(order.coordinator, asked_at, grant, now)
        return self.holder.collect_orders(now)

    def silence(self, order: PermitOrder, asked_at: float, now: float) -> tuple[PermitOrder, ...]:
        """Let an order time out; return what is asked for next."""
        self.holder.handle_silence(order.coordinator, "hot", asked_at, now)
        return self.holder.collect_orders(now)


class TestPermits(HolderTest):
    def test_operations_of_one_turn_share_an_order(self) -> None:
        (order,) = self.request(1.0, 3)
        self.assertEqual(3, order.count)
        self.answer(order, 1.0, 1.02, 3)
        self.assertEqual([Permit("hot", 1.0 + PERMIT_LIFETIME_S)] * 3, self.decisions)

    def test_unused_permits_serve_later_operations_until_they_expire(self) -> None:
        """A permit that is used later than 0.25 s after it was asked for widens the window."""
        (order,) = self.request(1.0)
        self.answer(order, 1.0, 1.02, 3)
        self.assertEqual((), self.request(1.24))
        self.assertEqual(2, len(self.decisions))
        self.assertEqual(1, len(self.request(1.25)))
        self.assertEqual(2, len(self.decisions))

    def test_permit_that_arrives_expired_is_not_used(self) -> None:
        """The proxy was suspended while it waited for the answer."""
        (order,) = self.request(1.0)
        (other,) = self.answer(order, 1.0, 1.3, 1)
        self.assertNotEqual(order.coordinator, other.coordinator)
        self.assertEqual([], self.decisions)

    def test_steady_flow_asks_ahead(self) -> None:
        orders: list[PermitOrder] = []
        for step in range(400):
            now = 1.0 + step * 0.01
            for order in self.request(now):
                orders.append(order)
                self.answer(order, now, now, order.count)
        self.assertEqual(400, len(self.decisions))
        self.assertLess(len(orders), 100)

    def test_returned_permit_serves_the_next_operation(self) -> None:
        (order,) = self.request(1.0)
        self.answer(order, 1.0, 1.02, 1)
        permit = self.decisions[0]
        assert isinstance(permit, Permit)
        self.holder.give_back(permit, 1.1)
        self.assertEqual((), self.request(1.2))
        self.assertEqual([permit, permit], self.decisions)

    def test_permit_that_is_returned_too_late_is_dropped(self) -> None:
        (order,) = self.request(1.0)
        self.answer(order, 1.0, 1.02, 1)
        permit = self.decisions[0]
        assert isinstance(permit, Permit)
        self.holder.give_back(permit, 1.25)
        self.assertEqual(1, len(self.request(1.26)))


class TestRefusals(HolderTest):
    def test_other_coordinator_is_asked_before_a_refusal(self) -> None:
        (first,) = self.request(1.0, 2)
        (second,) = self.answer(first, 1.0, 1.02, 0, wait=0.5)
        self.assertNotEqual(first.coordinator, second.coordinator)
        self.assertEqual((), self.answer(second, 1.02, 1.04, 1, wait=0.3))
        self.assertEqual(Permit("hot", 1.02 + PERMIT_LIFETIME_S), self.decisions[0])
        refusal = self.decisions[1]
        assert isinstance(refusal, OverLimit)
        self.assertAlmostEqual(0.3, refusal.retry_after)

    def test_refusal_is_remembered_until_the_next_permit(self) -> None:
        (first,) = self.request(1.0)
        (second,) = self.answer(first, 1.0, 1.02, 0, wait=0.5)
        self.answer(second, 1.02, 1.04, 0, wait=0.5)
        self.assertEqual((), self.request(1.3))
        self.assertEqual([OverLimit, OverLimit], [type(d) for d in self.decisions])
        self.assertEqual(first.coordinator, self.request(1.53)[0].coordinator)

    def test_changed_limit_ends_the_memory(self) -> None:
        (first,) = self.request(1.0)
        (second,) = self.answer(first, 1.0, 1.02, 0, wait=5.0)
        self.answer(second, 1.02, 1.04, 0, wait=5.0)
        self.holder.request("hot", RateLimit(99.0, 99.0), self.decisions.append, 1.1)
        self.assertEqual(1, len(self.holder.collect_orders(1.1)))

    def test_operation_is_refused_after_one_answer_of_each(self) -> None:
        """Short waits must not make an operation ask the coordinators in turn without end."""
        (first,) = self.request(1.0)
        (second,) = self.answer(first, 1.0, 1.02, 0, wait=0.001)
        self.assertEqual((), self.answer(second, 1.02, 1.04, 0, wait=0.001))
        self.assertEqual([OverLimit], [type(d) for d in self.decisions])

    def test_new_coordinators_refuse_as_the_program(self) -> None:
        (first,) = self.request(1.0)
        grant = PermitGrant("hot", 0, 0.7, is_ready=False)
        self.holder.handle_grant(first.coordinator, 1.0, grant, 1.02)
        (second,) = self.holder.collect_orders(1.02)
        self.holder.handle_grant(second.coordinator, 1.02, grant, 1.04)
        self.holder.collect_orders(1.04)
        refusal = self.decisions[0]
        assert isinstance(refusal, Unavailable)
        self.assertTrue(refusal.is_new)
        self.assertAlmostEqual(0.68, refusal.retry_after)


class TestSilence(HolderTest):
    def test_other_coordinator_is_asked_and_the_silent_one_avoided(self) -> None:
        (first,) = self.request(1.0)
        (second,) = self.silence(first, 1.0, 1.08)
        self.assertNotEqual(first.coordinator, second.coordinator)
        self.answer(second, 1.08, 1.1, 1)
        (order,) = self.request(1.5)
        self.assertEqual(second.coordinator, order.coordinator)
        self.answer(order, 1.5, 1.52, 1)
        (order,) = self.request(2.1)
        self.assertEqual(first.coordinator, order.coordinator)

    def test_silent_coordinator_is_not_asked_after_a_refusal_of_the_other(self) -> None:
        (first,) = self.request(1.0)
        (second,) = self.silence(first, 1.0, 1.08)
        self.assertEqual((), self.answer(second, 1.08, 1.1, 0, wait=0.3))
        self.assertEqual((), self.request(1.2))
        self.assertEqual([OverLimit, OverLimit], [type(d) for d in self.decisions])

    def test_program_refuses_if_nobody_answers(self) -> None:
        (first,) = self.request(1.0)
        (second,) = self.silence(first, 1.0, 1.08)
        self.assertEqual((), self.silence(second, 1.08, 1.16))
        self.assertEqual([Unavailable(0.5)], self.decisions)
        self.assertEqual(1, len(self.request(1.2)))

    def test_late_answer_is_used(self) -> None:
        """The event loop of this proxy was busy, so that the timer fired before the answer."""
        (first,) = self.request(1.0)
        (second,) = self.silence(first, 1.0, 1.08)
        self.answer(first, 1.0, 1.09, 1)
        self.assertEqual([Permit("hot", 1.25)], self.decisions)
        self.answer(second, 1.08, 1.1, 1)
        self.assertEqual((), self.request(1.2))
        self.assertEqual(2, len(self.decisions))

    def test_proxy_that_denies_being_a_coordinator_is_passed_over(self) -> None:
        (first,) = self.request(1.0)
        denial = PermitGrant("hot", 0, 0.0, is_coordinator=False)
        self.holder.handle_grant(first.coordinator, 1.0, denial, 1.02)
        (second,) = self.holder.collect_orders(1.02)
        self.assertNotEqual(first.coordinator, second.coordinator)
        self.holder.handle_grant(second.coordinator, 1.02, denial, 1.04)
        self.assertEqual((), self.holder.collect_orders(1.04))
        self.assertEqual([Unavailable(0.5)], self.decisions)

    def test_unknown_fleet_refuses_as_the_program(self) -> None:
        holder = PermitHolder("own", CoordinatorTable("own", "own-1"))
        holder.request("hot", LIMIT, self.decisions.append, 1.0)
        self.assertEqual([Unavailable(0.5)], self.decisions)


class TestState(HolderTest):
    def test_idle_accounts_are_forgotten(self) -> None:
        (first,) = self.request(1.0)
        self.holder.forget_idle_accounts(9.0)
        self.assertEqual(frozenset({"hot"}), self.holder.accounts)
        (second,) = self.silence(first, 1.0, 9.0)
        self.silence(second, 9.0, 9.08)
        self.assertEqual([Unavailable(0.5)], self.decisions)
        self.holder.forget_idle_accounts(9.1)
        self.assertEqual(frozenset(), self.holder.accounts)

    def test_answer_for_a_forgotten_account_has_no_effect(self) -> None:
        self.holder.handle_grant("p-1", 1.0, PermitGrant("gone", 5, 0.0), 1.02)
        self.holder.give_back(Permit("gone", 9.0), 1.0)
        self.assertEqual(frozenset(), self.holder.accounts)
