"""Resolves the outcome of requests in doubt by queries to the ledger of the primary."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from orioleplank.decision.quorum._effect import Event, QueryLedger
from orioleplank.decision.quorum._message import LedgerAnswered, LedgerState
from orioleplank.decision.quorum._pending_request import PendingRequest, ReplyHeld, Resolving
from orioleplank.decision.quorum._proxy_state import ProxyState
from orioleplank.decision.quorum._request_table import RequestTable
from orioleplank.decision.quorum._safeguards import Safeguard

# Delay before the next query when no primary was reachable or the query was rejected.
RESOLVE_RETRY_INTERVAL_S = 0.05
# A query without an answer is repeated after this time.
LEDGER_TIMEOUT_S = 0.5


class OutcomeResolver:
    """Resolves requests that may have run.

    An entry found in the ledger means that the request ran; otherwise the query leaves a tombstone,
    so that the request cannot run later. Either reply is held until its position is committed.
    """

    def __init__(
        self,
        proxy_state: ProxyState,
        request_table: RequestTable,
        hold: Callable[[PendingRequest], None],
    ) -> None:
        self._proxy_state = proxy_state
        self._request_table = request_table
        self._hold = hold
        self._last_query_number = 0

    def resolve(self, pending: PendingRequest) -> None:
        """Query the ledger of the primary for the outcome of a request, until it is known."""
        self._request_table.resolving.add(pending.number)
        resolving = replace(pending, stage=Resolving())
        self._request_table.save(resolving)
        self._query(resolving)

    def _query(self, pending: PendingRequest) -> None:
        proxy_state, request = self._proxy_state, pending.request
        view = proxy_state.group_views[request.service]
        primary = view.primary()
        if primary is None or not view.is_reachable(primary.instance, proxy_state.now):
            self._schedule_retry(pending)
            return
        self._last_query_number += 1
        tombstone = proxy_state.safeguards.is_enabled(Safeguard.TOMBSTONE)
        stage = Resolving(
            self._last_query_number, primary.instance, primary.term, tombstone, proxy_state.now
        )
        self._request_table.save(replace(pending, stage=stage))
        proxy_state.emit(
            QueryLedger(
                request.service,
                primary.instance,
                self._last_query_number,
                request.id,
                primary.term,
                tombstone,
            )
        )

    def _schedule_retry(self, pending: PendingRequest) -> None:
        stage = Resolving(
            queried_at=self._proxy_state.now - LEDGER_TIMEOUT_S + RESOLVE_RETRY_INTERVAL_S
        )
        self._request_table.save(replace(pending, stage=stage))

    def apply_ledger_answer(self, message: LedgerAnswered) -> None:
        """Process the answer to a ledger query; an answer to an older query is ignored."""
        for number in self._request_table.resolving:
            pending = self._request_table.requests[number]
            stage = pending.stage
            if isinstance(stage, Resolving) and stage.query_number == message.query_number:
                self._apply_outcome(pending, stage, message)
                return

    def _apply_outcome(
        self, pending: PendingRequest, stage: Resolving, message: LedgerAnswered
    ) -> None:
        if message.state in (LedgerState.STALE_TERM, LedgerState.UNREACHABLE):
            self._schedule_retry(pending)
            return
        self._request_table.resolving.discard(pending.number)
        self._proxy_state.log_event(
            Event.OUTCOME_RESOLVED, "resolve outcome", message.instance, message.state.value
        )
        found = message.state is LedgerState.FOUND
        held = ReplyHeld(
            message.position,
            message.result,
            message.instance,
            stage.term,
            repeated=found,
            tombstoned=not found,
        )
        self._hold(replace(pending, stage=held))

    def tick(self) -> None:
        """Repeat the queries that have not been answered in time."""
        for number in sorted(self._request_table.resolving):
            pending = self._request_table.requests[number]
            stage = pending.stage
            assert isinstance(stage, Resolving)
            if self._proxy_state.now - stage.queried_at >= LEDGER_TIMEOUT_S:
                self._query(pending)
