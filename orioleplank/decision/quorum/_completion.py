"""How requests end: answered, refused, or tried again within the budget."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

from orioleplank.decision.quorum._effect import Event, Reply
from orioleplank.decision.quorum._pending_request import PendingRequest
from orioleplank.decision.quorum._proxy_state import ProxyState
from orioleplank.decision.quorum._refusal import DidRun, Mechanism, Program, Refusal, RefusalReason
from orioleplank.decision.quorum._request import Outcome
from orioleplank.decision.quorum._request_table import RequestTable
from orioleplank.decision.quorum._retry_budget import RetryBudget
from orioleplank.decision.quorum._safeguards import Safeguard

RETRY_AFTER_S = 0.1
BACKOFF_S = 0.002
BACKOFF_LIMIT_S = 0.1


class RequestCompletion:
    """Ends requests, or sends them round again."""

    def __init__(
        self, node: ProxyState, table: RequestTable, resolve: Callable[[PendingRequest], None]
    ) -> None:
        self._node = node
        self._table = table
        self._resolve = resolve
        self._budgets: defaultdict[str, RetryBudget] = defaultdict(RetryBudget)
        # True once the proxy is stopping.
        self.should_reconnect = False
        # Services whose callers are better served by another proxy.
        self.redirected_services: set[str] = set()

    def deposit_retry(self, service: str, share: float) -> None:
        """Let a new request earn its share of a retry."""
        self._budgets[service] = self._budgets[service].deposit(share)

    def finish(self, exchange: PendingRequest, outcome: Outcome) -> None:
        """Answer the caller."""
        self._table.remove(exchange)
        node, request = self._node, exchange.request
        elapsed = node.now - exchange.arrived_at
        move = self.should_reconnect or request.service in self.redirected_services
        node.emit(Reply(exchange.caller, request, outcome, move, elapsed, exchange.attempts))

    def refuse(
        self,
        exchange: PendingRequest,
        reason: RefusalReason,
        mechanism: Mechanism,
        step: str,
        detail: str,
        peer: str = "",
        retry_after: float = 0.0,
    ) -> None:
        """Refuse a request; whether it ran follows from what became of its copies."""
        did_run = DidRun.UNKNOWN if exchange.ambiguous else DidRun.NO
        waits = reason in (RefusalReason.NO_PRIMARY, RefusalReason.DEADLINE)
        after = retry_after or (RETRY_AFTER_S if waits else 0.0)
        party = Program(mechanism)
        self.finish(exchange, Refusal(reason, party, did_run, step, peer, after, detail))

    def refuse_aborted(self, exchange: PendingRequest, peer: str) -> None:
        """Refuse a step of a transaction that was rolled back."""
        self.refuse(
            exchange,
            RefusalReason.TRANSACTION_ABORTED,
            Mechanism.TRANSACTION,
            "run statement",
            "the transaction lost its connection and was rolled back",
            peer,
        )

    def retry(self, exchange: PendingRequest, why: str) -> None:
        """Let a request wait again, if the budget allows it."""
        service = exchange.request.service
        left = self._budgets[service].withdraw()
        if left is None and self._node.safeguards.is_enabled(Safeguard.RETRY_BUDGET):
            self._refuse_retry(exchange)
            return
        self._budgets[service] = left or RetryBudget(0.0)
        self._node.log_event(Event.REQUEST_RETRIED, "retry", exchange.request.id, why)
        backoff = min(BACKOFF_LIMIT_S, BACKOFF_S * 2 ** min(exchange.attempts, 10))
        pause = backoff * self._node.random.random()
        self._table.enqueue(exchange, self._node.now + pause)

    def _refuse_retry(self, exchange: PendingRequest) -> None:
        if exchange.ambiguous and exchange.request.ledger_id:
            self._resolve(exchange)
            return
        self.refuse(
            exchange,
            RefusalReason.RETRY_BUDGET,
            Mechanism.RETRY,
            "retry",
            "the share of requests that may be retried is spent",
        )
