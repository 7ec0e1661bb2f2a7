"""Admits operations by the rate limits of their accounts: gets permits from the coordinators."""

from __future__ import annotations

from random import Random
from typing import Any

from msgspec import Struct
from twisted.internet.defer import Deferred

from orioleplank.decision.accounts import ClientAccount, RateLimit
from orioleplank.decision.mechanisms import Mechanism
from orioleplank.decision.membership import PeerMessage, PermitsAsked, PermitsTold, ProxyRecord
from orioleplank.decision.quota import (
    PERMIT_LIFETIME_S,
    CoordinatorTable,
    OverLimit,
    Permit,
    PermitDecision,
    PermitHolder,
    Unavailable,
    find_held_permits,
)
from orioleplank.decision.session import FailureCode
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._metrics import Metrics
from orioleplank.gateway._notifier import sleep
from orioleplank.gateway._outcome import Refused, refuse, refuse_by_operator
from orioleplank.gateway._peer_socket import PeerSocket
from orioleplank.gateway._permit_batches import PermitBatch, group_orders
from orioleplank.gateway._permit_server import PermitServer
from orioleplank.gateway._view_subscriber import INITIAL_REQUEST_NUMBER_LIMIT

# A coordinator that has not answered by then is given up, in seconds: three round trips
# between regions.
ANSWER_TIMEOUT_S = 0.08
# Longest wait for the first listing of the fleet before its state is checked again, in
# seconds.
START_CHECK_INTERVAL_S = 0.2
# Shortest wait before another request for a permit, in seconds, so that rounding of times causes no
# series of requests.
MIN_RETRY_INTERVAL_S = 0.02
# The step that refusals and log lines name.
STEP = "rate limit"


class _SentBatch(Struct, frozen=True):
    """A request for permits that is not answered yet."""

    batch: PermitBatch
    # In seconds of the lease clock.
    asked_at: float


class RateLimiter:
    """Gets a permit for each operation of an account that has a limit.

    What operations need in one turn of the reactor is asked for together. This proxy asks itself
    without a message where it is a coordinator.
    """

    def __init__(
        self,
        reactor: Any,
        cluster_state: ClusterState,
        own_record: ProxyRecord,
        metrics: Metrics,
    ) -> None:
        self._reactor = reactor
        self._cluster_state = cluster_state
        self._own_name = own_record.name
        self._metrics = metrics
        self._coordinators = CoordinatorTable(own_record.name, own_record.incarnation)
        self._holder = PermitHolder(own_record.name, self._coordinators)
        self.server = PermitServer(cluster_state, own_record.name, self._coordinators, metrics)
        # Differs by incarnation, so that a response to an earlier one matches no current request.
        random = Random(own_record.incarnation)
        self._request_number = random.randrange(INITIAL_REQUEST_NUMBER_LIMIT)
        # Requests of the last `PERMIT_LIFETIME_S` seconds without an answer, by number.
        self._sent: dict[int, _SentBatch] = {}
        self._is_flush_scheduled = False
        self.socket: PeerSocket | None = None
        cluster_state.on_fleet_changed = self._apply_fleet

    # Operations.

    async def admit(self, account: ClientAccount, max_wait: float = 0.0) -> Permit | Refused | None:
        """Return a permit for one operation, or why it is refused; None if it needs no permit.

        An operation waits for at most `max_wait` seconds while no coordinator can grant permits,
        for example after a restart of the whole fleet, and then for one of their first permits.
        Otherwise one over the limit is refused at once.
        """
        is_on = self._cluster_state.mechanisms.is_on(Mechanism.RATE_LIMITS)
        if account.limit is None or not is_on:
            return None
        while self._cluster_state.is_starting and not self._cluster_state.fleet.active():
            await self._cluster_state.changed.wait(START_CHECK_INTERVAL_S)
        deadline = self._cluster_state.lease_clock() + max_wait
        decision = await self._request_permit(account.name, account.limit)
        has_waited = False
        while isinstance(decision, Unavailable) or (has_waited and isinstance(decision, OverLimit)):
            pause = max(MIN_RETRY_INTERVAL_S, decision.retry_after)
            if self._cluster_state.lease_clock() + pause >= deadline:
                break
            await sleep(self._reactor, pause)
            has_waited = True
            decision = await self._request_permit(account.name, account.limit)
        self._count_decision(account, decision)
        match decision:
            case Permit():
                return decision
            case _:
                return _build_refusal(account, decision)

    async def _request_permit(self, account: str, limit: RateLimit) -> PermitDecision:
        result: Deferred[PermitDecision] = Deferred()
        self._holder.request(account, limit, result.callback, self._cluster_state.lease_clock())
        self._schedule_flush()
        return await result

    def give_back(self, permit: Permit | None) -> None:
        """Take back the permit of an operation that was not sent to an instance."""
        if permit is not None:
            self._metrics.rate_limited.increment(permit.account, "returned", "")
            self._holder.give_back(permit, self._cluster_state.lease_clock())
            self._schedule_flush()

    def find_permits(self, account: ClientAccount) -> tuple[int, Refused | None] | None:
        """Return the number of unused permits, and the refusal if none may be asked for.

        None for an account that needs no permits. Nothing is asked for or recorded.
        """
        is_on = self._cluster_state.mechanisms.is_on(Mechanism.RATE_LIMITS)
        if account.limit is None or not is_on:
            return None
        now = self._cluster_state.lease_clock()
        held = find_held_permits(self._holder, account.name, account.limit, now)
        refusal = _build_refusal(account, held.refusal) if held.refusal is not None else None
        return held.count, refusal

    def is_expired(self, permit: Permit) -> bool:
        """Return whether a permit may no longer be used to start an operation."""
        return self._cluster_state.lease_clock() >= permit.expires_at

    def forget_idle_accounts(self) -> None:
        """Drop the state of accounts that were not seen recently."""
        self._holder.forget_idle_accounts(self._cluster_state.lease_clock())
        self.server.forget_idle_accounts()
        self._coordinators.keep_accounts(self._holder.accounts | self.server.accounts)

    # Messages.

    def handle_message(self, message: PeerMessage) -> None:
        """Apply the answer of a coordinator; one that was given before has no effect."""
        match message:
            case PermitsTold(sender, number, grants):
                sent = self._sent.get(number)
                if sent is None or sent.batch.coordinator != sender:
                    return
                del self._sent[number]
                now = self._cluster_state.lease_clock()
                for grant in grants:
                    self._holder.handle_grant(sender, sent.asked_at, grant, now)
                self._schedule_flush()

    def _apply_fleet(self) -> None:
        cluster_state = self._cluster_state
        self._coordinators.apply_fleet(
            cluster_state.fleet, cluster_state.retired_at, cluster_state.lease_clock()
        )

    def _schedule_flush(self) -> None:
        if self._holder.has_unasked and not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._reactor.callLater(0, self._flush)

    def _flush(self) -> None:
        """Send what has to be asked for; requests to this proxy itself are answered at once."""
        self._is_flush_scheduled = False
        while self._holder.has_unasked:
            now = self._cluster_state.lease_clock()
            for batch in group_orders(self._holder.collect_orders(now)):
                if batch.coordinator == self._own_name:
                    self._ask_self(batch, now)
                else:
                    self._send(batch, now)

    def _ask_self(self, batch: PermitBatch, now: float) -> None:
        for grant in self.server.grant(batch.asks, self._own_name):
            self._holder.handle_grant(self._own_name, now, grant, now)

    def _send(self, batch: PermitBatch, now: float) -> None:
        self._request_number += 1
        number = self._request_number
        self._sent[number] = _SentBatch(batch, now)
        peer = self._cluster_state.fleet.proxies.get(batch.coordinator)
        if peer is not None and self.socket is not None:
            self.socket.send(peer.address, PermitsAsked(self._own_name, number, batch.asks))
        self._reactor.callLater(ANSWER_TIMEOUT_S, self._handle_silence, number)
        self._reactor.callLater(PERMIT_LIFETIME_S, self._sent.pop, number, None)

    def _handle_silence(self, number: int) -> None:
        sent = self._sent.get(number)
        if sent is None:
            return
        now = self._cluster_state.lease_clock()
        for ask in sent.batch.asks:
            self._holder.handle_silence(sent.batch.coordinator, ask.account, sent.asked_at, now)
        self._schedule_flush()

    # Outcomes.

    def _count_decision(self, account: ClientAccount, decision: PermitDecision) -> None:
        match decision:
            case Permit():
                labels = ("admitted", "")
            case OverLimit():
                labels = ("refused", "limit")
            case Unavailable(_, is_new):
                labels = ("refused", "new coordinators" if is_new else "no answer")
        self._metrics.rate_limited.increment(account.name, *labels)


def _build_refusal(account: ClientAccount, decision: OverLimit | Unavailable) -> Refused:
    match decision:
        case OverLimit(retry_after):
            assert account.limit is not None
            limit = f"{account.limit.rate:g} operations a second, {account.limit.burst:g} at once"
            detail = f"account {account.name} is over its limit of {limit}"
            return refuse_by_operator(FailureCode.BUSY, STEP, detail, retry_after)
        case Unavailable(retry_after, is_new):
            reason = "grants permits yet" if is_new else "answers"
            detail = f"no coordinator of account {account.name} {reason}"
            return refuse(FailureCode.BUSY, STEP, detail, retry_after=retry_after)
