"""Pools of two owners at one instance under load, on virtual time, and room that is never left."""

from __future__ import annotations

from random import Random
from typing import Any

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import succeed

from orioleplank.decision.accounts import ClientAccount
from orioleplank.decision.admission import StatementResult
from orioleplank.decision.admission.tests._simulated_load import (
    DEADLINE_S,
    Clock,
    Instance,
    send_arrivals,
)
from orioleplank.decision.instances import DbRole, InstanceEntry, InstanceState
from orioleplank.decision.mechanisms import ALL_ON, Mechanism, MechanismSwitches
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._connection_request import ConnectionRequest
from orioleplank.gateway._pool import InstancePool
from orioleplank.gateway._wait_queue import QueueTooLongError

SLOTS = 5
# 38% of 70 connections.
CONNECTIONS = 26
# Statements per second that five slots serve of 15 ms of work, with the tail.
CAPACITY = SLOTS / (0.015 * 1.04)
SECONDS, SETTLED_S = 30.0, 8.0
WITHOUT_LIMIT = MechanismSwitches(frozenset({Mechanism.CONCURRENCY_LIMIT}))
ENTRY = InstanceEntry("i-1", "books", "10.0.0.9:1", "a", InstanceState.READY, DbRole.PRIMARY, SLOTS)


class _Link:
    """A connection that does nothing."""

    has_replied_on_opening = True

    def __init__(self, account: str) -> None:
        self.account = account

    def close(self) -> None:
        """Do nothing."""


def _build_pool(now: Any, mechanisms: MechanismSwitches, connections: int) -> InstancePool:
    def dial(entry: object, on_problem: object, account: str) -> Any:
        return succeed(_Link(account))

    return InstancePool(ENTRY, dial, now, lambda _: connections, lambda _: None, mechanisms)


class _PoolOwner:
    """An owner that runs each statement that arrives on a connection of its pool."""

    def __init__(self, clock: Clock, instance: Instance, mechanisms: MechanismSwitches) -> None:
        self._clock = clock
        self._instance = instance
        self._pool = _build_pool(lambda: clock.now, mechanisms, CONNECTIONS)
        # When each served statement ended, and its time from arrival to answer, in seconds.
        self.served: list[tuple[float, float]] = []
        self.busy = self.refused = 0

    def arrive(self) -> None:
        """Acquire a connection for a statement."""
        arrived_at = self._clock.now
        acquired = self._pool.acquire(ConnectionRequest(DEADLINE_S))
        acquired.addCallbacks(self._run, self._refuse, callbackArgs=(arrived_at,))

    def _refuse(self, failure: Any) -> None:
        failure.trap(QueueTooLongError)
        self.refused += 1

    def _run(self, connection: PooledConnection, arrived_at: float) -> None:
        def end(has_run: bool) -> None:
            # The answer takes a moment, also when it is BUSY.
            self._clock.call_at(self._clock.now + 0.001, lambda: answer(has_run))

        def answer(has_run: bool) -> None:
            result = StatementResult.ANSWERED if has_run else StatementResult.OVERLOADED
            if has_run:
                self.served.append((self._clock.now, self._clock.now - arrived_at))
            else:
                self.busy += 1
            self._pool.statements.end(connection, result)
            self._pool.release(connection)

        self._pool.statements.start(connection)
        self._instance.run(end)


class TestConstantSpeed(testtools.TestCase):
    """Load: an instance that takes all its slots well, at 0.5 to 2 times its capacity."""

    def _run(self, load: float, mechanisms: MechanismSwitches) -> list[_PoolOwner]:
        clock, random = Clock(), Random(1)
        instance = Instance(clock, Random(2), SLOTS)
        owners = [_PoolOwner(clock, instance, mechanisms) for _ in range(2)]
        for owner in owners:
            send_arrivals(clock, random, owner, lambda _: load * CAPACITY / 2, SECONDS)
        clock.run_until(SECONDS)
        return owners

    def _throughput(self, owners: list[_PoolOwner]) -> float:
        served = sum(at >= SETTLED_S for owner in owners for at, _ in owner.served)
        return served / (SECONDS - SETTLED_S)

    def _quantile(self, owners: list[_PoolOwner], share: float) -> float:
        times = sorted(s for owner in owners for at, s in owner.served if at >= SETTLED_S)
        return times[int(share * len(times))]

    def _check_load(self, load: float) -> None:
        """The limit costs at most 2% of the throughput; all that is served is in time."""
        before, after = self._run(load, WITHOUT_LIMIT), self._run(load, ALL_ON)
        self.assertGreaterEqual(self._throughput(after), 0.98 * self._throughput(before))
        self.assertLess(self._quantile(after, 0.99), DEADLINE_S)
        self.assertLessEqual(
            sum(owner.busy for owner in after), sum(owner.busy for owner in before)
        )

    def test_half_of_the_capacity(self) -> None:
        self._check_load(0.5)

    def test_just_below_the_capacity(self) -> None:
        self._check_load(0.9)

    def test_just_above_the_capacity(self) -> None:
        self._check_load(1.2)

    def test_twice_the_capacity(self) -> None:
        self._check_load(2.0)


class TestRoom(testtools.TestCase):
    """Room is never left free while somebody waits, whatever begins and ends in which order."""

    @settings(deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["acquire", "end", "begin", "run", "pause"]),
                st.integers(0, 20),
                st.sampled_from(["one", "two"]),
                st.sampled_from(StatementResult),
            ),
            max_size=80,
        )
    )
    def test_waiters_are_served_while_there_is_room(
        self, steps: list[tuple[str, int, str, StatementResult]]
    ) -> None:
        now = 0.0
        pool = _build_pool(lambda: now, ALL_ON, 6)
        held: list[PooledConnection] = []
        for action, number, account, result in steps:
            connection = held[number % len(held)] if held else None
            match action:
                case "acquire":
                    request = ConnectionRequest(1e6, ClientAccount(account, 0))
                    pool.acquire(request).addCallback(held.append)
                case "end" if connection is not None:
                    held.remove(connection)
                    pool.statements.end(connection, result)
                    pool.release(connection)
                case "begin" if connection is not None:
                    # Its statement ends, and it is kept for a transaction.
                    pool.statements.end(connection, result)
                    pool.serve_waiters()
                case "run" if connection is not None:
                    pool.statements.start(connection)
                case "pause":
                    now += number / 10
                    pool.serve_waiters()
            is_full = len(held) >= 6 or pool.statements.room == 0
            self.assertTrue(pool.waiting == 0 or is_full)
