"""The coordinator's side: whom it grants permits, and when it tells others to ask again."""

from __future__ import annotations

import testtools

from orioleplank.decision.accounts import AccountTable, ClientAccount, RateLimit
from orioleplank.decision.membership import Fleet, PermitAsk, PermitGrant, ProxyRecord
from orioleplank.decision.quota import CoordinatorTable, PermitCoordinator, find_limits
from orioleplank.decision.quota._permit_coordinator import MAX_ASKS_PER_S, MAX_WAIT_S, split_limit

OWN = "p-1"
LIMITS = {"hot": RateLimit(10.0, 8.0), "free": None}


def _coordinator() -> PermitCoordinator:
    """Return the only proxy of a fleet, as of time 0."""
    table = CoordinatorTable(OWN, f"{OWN}-1")
    record = ProxyRecord(OWN, f"{OWN}-1", "10.0.0.1:1", "a")
    table.apply_fleet(Fleet({OWN: record}), {}, 0.0)
    return PermitCoordinator(table)


def _grant(
    coordinator: PermitCoordinator,
    count: int,
    now: float,
    account: str = "hot",
    sender: str = "p-2",
    has_valid_view: bool = True,
) -> PermitGrant:
    return coordinator.grant(PermitAsk(account, count), sender, LIMITS, has_valid_view, now)


class TestGrants(testtools.TestCase):
    def test_bucket_has_half_of_the_limit(self) -> None:
        grant = _grant(_coordinator(), 100, 60.0)
        self.assertEqual(4, grant.count)
        self.assertAlmostEqual(0.2, grant.wait)

    def test_burst_of_one_is_at_least_one_at_each(self) -> None:
        self.assertEqual((0.5, 1.0), split_limit(RateLimit(1.0, 1.0)))
        self.assertEqual((2.5, 3.0), split_limit(RateLimit(5.0, 5.0)))
        self.assertEqual((0.0, 1.0), split_limit(RateLimit(0.0, 0.0)))

    def test_new_coordinator_grants_nothing_and_says_so(self) -> None:
        coordinator = _coordinator()
        grant = _grant(coordinator, 1, 0.5)
        self.assertEqual((0, False), (grant.count, grant.is_ready))
        self.assertAlmostEqual(0.7, grant.wait)
        self.assertEqual(1, _grant(coordinator, 1, 1.21).count)

    def test_view_that_is_too_old_grants_nothing(self) -> None:
        grant = _grant(_coordinator(), 1, 60.0, has_valid_view=False)
        self.assertEqual((0, False), (grant.count, grant.is_coordinator))

    def test_unknown_account_is_granted_nothing(self) -> None:
        grant = _grant(_coordinator(), 1, 60.0, account="other")
        self.assertEqual((0, False), (grant.count, grant.is_coordinator))

    def test_account_whose_limit_was_removed_is_granted_all(self) -> None:
        """The proxy that asks may not have the new configuration yet."""
        self.assertEqual(500, _grant(_coordinator(), 500, 60.0, account="free").count)


class TestWait(testtools.TestCase):
    """Proxies that are refused must not overload the coordinator by asking again."""

    def test_wait_grows_with_the_proxies_that_ask(self) -> None:
        coordinator = _coordinator()
        _grant(coordinator, 4, 60.0)
        for number in range(800):
            grant = _grant(coordinator, 1, 60.0, sender=f"p-{number}")
        self.assertGreaterEqual(grant.wait, 800 / MAX_ASKS_PER_S)
        self.assertLess(_grant(coordinator, 9, 70.0).wait, 0.3)

    def test_wait_is_limited(self) -> None:
        limits = {"hot": RateLimit(0.0, 0.0)}
        grant = _coordinator().grant(PermitAsk("hot", 1), "p-2", limits, True, 60.0)
        self.assertEqual((0, MAX_WAIT_S), (grant.count, grant.wait))


class TestState(testtools.TestCase):
    def test_idle_accounts_are_forgotten_without_effect(self) -> None:
        coordinator = _coordinator()
        _grant(coordinator, 100, 60.0)
        coordinator.forget_idle_accounts(60.5)
        self.assertEqual(frozenset({"hot"}), coordinator.accounts)
        coordinator.forget_idle_accounts(63.0)
        self.assertEqual(frozenset(), coordinator.accounts)
        self.assertEqual(4, _grant(coordinator, 100, 63.0).count)

    def test_bucket_that_is_not_full_is_kept(self) -> None:
        coordinator = _coordinator()
        limits = {"hot": RateLimit(0.1, 8.0)}
        ask = PermitAsk("hot", 100)
        self.assertEqual(4, coordinator.grant(ask, "p-2", limits, True, 900.0).count)
        coordinator.forget_idle_accounts(910.0)
        self.assertEqual(0, coordinator.grant(ask, "p-2", limits, True, 910.0).count)

    def test_limits_are_by_name(self) -> None:
        account = ClientAccount("hot", limit=RateLimit(1.0, 1.0))
        table = AccountTable({"k1": account, "k2": account})
        self.assertEqual({"hot": RateLimit(1.0, 1.0)}, find_limits(table))
        self.assertEqual({}, find_limits(None))
