"""How requests end: answered, refused, or tried again within the budget."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

from orioleplank.decision.quorum._effect import Event, Reply
from orioleplank.decision.quorum._exchange import Exchange
from orioleplank.decision.quorum._mechanism import Switch
from orioleplank.decision.quorum._node import Node
from orioleplank.decision.quorum._refusal import DidRun, Mechanism, Program, Reason, Refusal
from orioleplank.decision.quorum._request import Outcome
from orioleplank.decision.quorum._retry import RetryBudget
from orioleplank.decision.quorum._table import Table

RETRY_AFTER_S = 0.1
BACKOFF_S = 0.002
BACKOFF_LIMIT_S = 0.1


class Ending:
    """Ends requests, or sends them round again."""

    def __init__(self, node: Node, table: Table, resolve: Callable[[Exchange], None]) -> None:
        self._node = node
        self._table = table
        self._resolve = resolve
        self._budgets: defaultdict[str, RetryBudget] = defaultdict(RetryBudget)
        # True once the proxy is stopping.
        self.move = False
        # Services whose callers are better served by another proxy.
        self.handed_on: set[str] = set()

    def earn(self, service: str, share: float) -> None:
        """Let a new request earn its share of a retry."""
        self._budgets[service] = self._budgets[service].earn(share)

    def finish(self, exchange: Exchange, outcome: Outcome) -> None:
        """Answer the caller."""
        self._table.remove(exchange)
        node, request = self._node, exchange.request
        elapsed = node.now - exchange.arrived
        move = self.move or request.service in self.handed_on
        node.emit(Reply(exchange.caller, request, outcome, move, elapsed, exchange.attempts))

    def refuse(
        self,
        exchange: Exchange,
        reason: Reason,
        mechanism: Mechanism,
        step: str,
        detail: str,
        peer: str = "",
        retry_after: float = 0.0,
    ) -> None:
        """Refuse a request; whether it ran follows from what became of its copies."""
        did_run = DidRun.UNKNOWN if exchange.ambiguous else DidRun.NO
        waits = reason in (Reason.NO_PRIMARY, Reason.DEADLINE)
        after = retry_after or (RETRY_AFTER_S if waits else 0.0)
        party = Program(mechanism)
        self.finish(exchange, Refusal(reason, party, did_run, step, peer, after, detail))

    def refuse_aborted(self, exchange: Exchange, peer: str) -> None:
        """Refuse a step of a transaction that was rolled back."""
        self.refuse(
            exchange,
            Reason.TRANSACTION_ABORTED,
            Mechanism.TRANSACTION,
            "run statement",
            "the transaction lost its connection and was rolled back",
            peer,
        )

    def retry(self, exchange: Exchange, why: str) -> None:
        """Let a request wait again, if the budget allows it."""
        service = exchange.request.service
        left = self._budgets[service].spend()
        if left is None and self._node.mechanisms.on(Switch.RETRY_BUDGET):
            self._refuse_retry(exchange)
            return
        self._budgets[service] = left or RetryBudget(0.0)
        self._node.note(Event.REQUEST_RETRIED, "retry", exchange.request.id, why)
        backoff = min(BACKOFF_LIMIT_S, BACKOFF_S * 2 ** min(exchange.attempts, 10))
        pause = backoff * self._node.random.random()
        self._table.enqueue(exchange, self._node.now + pause)

    def _refuse_retry(self, exchange: Exchange) -> None:
        if exchange.ambiguous and exchange.request.ledger_id:
            self._resolve(exchange)
            return
        self.refuse(
            exchange,
            Reason.RETRY_BUDGET,
            Mechanism.RETRY,
            "retry",
            "the share of requests that may be retried is spent",
        )
