"""Keepers and their terms."""

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


def make_membership(name: str, heard: tuple[str, ...], at: float = 10.0) -> Membership:
    """Return the membership of `name`, which has heard others at a time."""
    membership = Membership(name, f"{name}-1")
    for proxy in heard:
        membership = apply_heartbeat(membership, HeartbeatReceived(proxy, f"{proxy}-1", 0), at)
    return membership


class KeepershipTest(TestCase):
    @given(st.lists(st.sampled_from(PROXIES), min_size=1, max_size=30))
    def test_ranges_never_overlap(self, order: list[str]) -> None:
        spec, reserved = KeepershipSpec(), set[int]()
        for name in order:
            heard = tuple(proxy for proxy in PROXIES if proxy != name)
            highest = spec.highest_reserved_term
            proposed = propose_keepership(make_membership(name, heard), "s", spec, highest, 10.0)
            if proposed is None:
                continue
            added = proposed.ranges[-1]
            terms = set(range(added.first, added.last + 1))
            self.assertFalse(terms & reserved)
            reserved |= terms
            spec = proposed

    def test_three_rank_first_and_one_acts(self) -> None:
        spec = KeepershipSpec()
        for name in PROXIES:
            heard = tuple(proxy for proxy in PROXIES if proxy != name)
            membership = make_membership(name, heard)
            spec = propose_keepership(membership, "s", spec, 0, 10.0) or spec
        self.assertEqual(3, len(spec.ranges))
        acting = [
            name
            for name in PROXIES
            if is_active_coordinator(make_membership(name, PROXIES), "s", spec, 10.0)
        ]
        self.assertEqual([rank_proxies("s", PROXIES)[0]], acting)

    def test_next_acts_when_the_first_is_silent(self) -> None:
        ranked = rank_proxies("s", PROXIES)
        spec = KeepershipSpec()
        for name in ranked[:3]:
            spec = propose_keepership(make_membership(name, PROXIES), "s", spec, 0, 10.0) or spec
        second = make_membership(ranked[1], PROXIES)
        self.assertFalse(is_active_coordinator(second, "s", spec, 10.0))
        self.assertTrue(is_active_coordinator(second, "s", spec, 11.5))

    def test_another_run_of_the_same_name_does_not_own_the_range(self) -> None:
        first = rank_proxies("s", PROXIES)[0]
        spec = propose_keepership(make_membership(first, ()), "s", KeepershipSpec(), 0, 10.0)
        assert spec is not None
        restarted = Membership(first, f"{first}-2")
        self.assertIsNone(find_own_range(restarted, spec))
        self.assertFalse(is_active_coordinator(restarted, "s", spec, 10.0))
