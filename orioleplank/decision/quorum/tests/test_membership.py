"""Selection of failover coordinators and reservation of terms."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from orioleplank.decision.quorum import (
    HeartbeatReceived,
    KeepershipSpec,
    Membership,
    apply_heartbeat,
    find_own_range,
    is_active_coordinator,
    propose_keepership,
    rank_proxies,
)

PROXIES = ("p1", "p2", "p3", "p4", "p5")


def make_membership(name: str, peers: tuple[str, ...], received_at: float = 10.0) -> Membership:
    """Return the membership of `name` after a heartbeat from each peer at `received_at`."""
    membership = Membership(name, f"{name}-1")
    for proxy in peers:
        membership = apply_heartbeat(
            membership, HeartbeatReceived(proxy, f"{proxy}-1", 0), received_at
        )
    return membership


class KeepershipTest(TestCase):
    @given(st.lists(st.sampled_from(PROXIES), min_size=1, max_size=30))
    def test_reserved_ranges_never_overlap(self, order: list[str]) -> None:
        spec, reserved = KeepershipSpec(), set[int]()
        for name in order:
            peers = tuple(proxy for proxy in PROXIES if proxy != name)
            highest = spec.highest_reserved_term
            proposed = propose_keepership(make_membership(name, peers), "s", spec, highest, 10.0)
            if proposed is None:
                continue
            added = proposed.ranges[-1]
            terms = set(range(added.first, added.last + 1))
            self.assertFalse(terms & reserved)
            reserved |= terms
            spec = proposed

    def test_three_proxies_reserve_terms_and_one_is_active(self) -> None:
        spec = KeepershipSpec()
        for name in PROXIES:
            peers = tuple(proxy for proxy in PROXIES if proxy != name)
            membership = make_membership(name, peers)
            spec = propose_keepership(membership, "s", spec, 0, 10.0) or spec
        self.assertEqual(3, len(spec.ranges))
        active = [
            name
            for name in PROXIES
            if is_active_coordinator(make_membership(name, PROXIES), "s", spec, 10.0)
        ]
        self.assertEqual([rank_proxies("s", PROXIES)[0]], active)

    def test_second_becomes_active_when_the_first_is_unresponsive(self) -> None:
        ranked = rank_proxies("s", PROXIES)
        spec = KeepershipSpec()
        for name in ranked[:3]:
            spec = propose_keepership(make_membership(name, PROXIES), "s", spec, 0, 10.0) or spec
        second = make_membership(ranked[1], PROXIES)
        self.assertFalse(is_active_coordinator(second, "s", spec, 10.0))
        self.assertTrue(is_active_coordinator(second, "s", spec, 11.5))

    def test_range_does_not_belong_to_another_incarnation_of_the_proxy(self) -> None:
        first = rank_proxies("s", PROXIES)[0]
        spec = propose_keepership(make_membership(first, ()), "s", KeepershipSpec(), 0, 10.0)
        assert spec is not None
        restarted = Membership(first, f"{first}-2")
        self.assertIsNone(find_own_range(restarted, spec))
        self.assertFalse(is_active_coordinator(restarted, "s", spec, 10.0))
