"""Settles what became of a write whose reply was lost, by asking the primary's ledger."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from orioleplank.decision.quorum._effect import Event, QueryLedger
from orioleplank.decision.quorum._message import LedgerAnswered, LedgerState
from orioleplank.decision.quorum._pending_request import PendingRequest, ReplyHeld, Resolving
from orioleplank.decision.quorum._proxy_state import ProxyState
from orioleplank.decision.quorum._request_table import RequestTable
from orioleplank.decision.quorum._safeguards import Safeguard

RESOLVE_RETRY_S = 0.05
LEDGER_WAIT_S = 0.5


class OutcomeResolver:
    """The requests whose outcome is being resolved."""

    def __init__(
        self, node: ProxyState, table: RequestTable, keep: Callable[[PendingRequest], None]
    ) -> None:
        self._node = node
        self._table = table
        self._keep = keep
        self._queries = 0

    def resolve(self, exchange: PendingRequest) -> None:
        """Ask the primary's ledger what became of a request."""
        self._table.resolving.add(exchange.number)
        resolving = replace(exchange, stage=Resolving())
        self._table.save(resolving)
        self._ask(resolving)

    def _ask(self, exchange: PendingRequest) -> None:
        node, request = self._node, exchange.request
        view = node.group_views[request.service]
        primary = view.primary()
        if primary is None or not view.is_reachable(primary.instance, node.now):
            self._wait(exchange)
            return
        self._queries += 1
        tombstone = node.safeguards.is_enabled(Safeguard.TOMBSTONE)
        stage = Resolving(self._queries, primary.instance, primary.term, tombstone, node.now)
        self._table.save(replace(exchange, stage=stage))
        node.emit(
            QueryLedger(
                request.service,
                primary.instance,
                self._queries,
                request.id,
                primary.term,
                tombstone,
            )
        )

    def _wait(self, exchange: PendingRequest) -> None:
        stage = Resolving(asked_at=self._node.now - LEDGER_WAIT_S + RESOLVE_RETRY_S)
        self._table.save(replace(exchange, stage=stage))

    def apply_ledger_answer(self, message: LedgerAnswered) -> None:
        """Take what the ledger holds."""
        for number in self._table.resolving:
            exchange = self._table.pending[number]
            stage = exchange.stage
            if isinstance(stage, Resolving) and stage.query_number == message.query_number:
                self._take_outcome(exchange, stage, message)
                return

    def _take_outcome(
        self, exchange: PendingRequest, stage: Resolving, message: LedgerAnswered
    ) -> None:
        if message.state in (LedgerState.STALE_TERM, LedgerState.UNREACHABLE):
            self._wait(exchange)
            return
        self._table.resolving.discard(exchange.number)
        self._node.log_event(
            Event.OUTCOME_RESOLVED, "resolve outcome", message.instance, message.state.value
        )
        found = message.state is LedgerState.FOUND
        holding = ReplyHeld(
            message.position,
            message.result,
            message.instance,
            stage.term,
            repeated=found,
            tombstoned=not found,
        )
        self._keep(replace(exchange, stage=holding))

    def tick(self) -> None:
        """Ask again where no answer came."""
        for number in sorted(self._table.resolving):
            exchange = self._table.pending[number]
            stage = exchange.stage
            assert isinstance(stage, Resolving)
            if self._node.now - stage.asked_at >= LEDGER_WAIT_S:
                self._ask(exchange)
