"""Ends requests with an answer or a refusal, or retries them within the retry budget."""

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

# Delay suggested to the caller when there was no primary or the deadline passed.
RETRY_AFTER_S = 0.1
# The backoff doubles with each attempt; the actual delay is a random part of it.
INITIAL_BACKOFF_S = 0.002
MAX_BACKOFF_S = 0.1


class RequestCompletion:
    """Answers and refuses requests, and queues requests for a retry."""

    def __init__(
        self,
        proxy_state: ProxyState,
        request_table: RequestTable,
        resolve: Callable[[PendingRequest], None],
    ) -> None:
        self._proxy_state = proxy_state
        self._request_table = request_table
        self._resolve = resolve
        self._budgets: defaultdict[str, RetryBudget] = defaultdict(RetryBudget)
        # True once the proxy is stopping; replies then ask callers to reconnect.
        self.should_reconnect = False
        # Services whose callers are redirected to another proxy.
        self.redirected_services: set[str] = set()

    def deposit_retry(self, service: str, share: float) -> None:
        """Add the `share` of a retry that a new request earns to the budget of `service`."""
        self._budgets[service] = self._budgets[service].deposit(share)

    def finish(self, pending: PendingRequest, outcome: Outcome) -> None:
        """Remove a request and send its outcome to the caller."""
        self._request_table.remove(pending)
        proxy_state, request = self._proxy_state, pending.request
        elapsed_s = proxy_state.now - pending.arrived_at
        reconnect = self.should_reconnect or request.service in self.redirected_services
        proxy_state.emit(
            Reply(pending.caller, request, outcome, reconnect, elapsed_s, pending.attempts)
        )

    def refuse(
        self,
        pending: PendingRequest,
        reason: RefusalReason,
        mechanism: Mechanism,
        step: str,
        detail: str,
        peer: str = "",
        retry_after: float = 0.0,
    ) -> None:
        """Refuse a request.

        The refusal says that it did not run, or that this is unknown if an earlier copy may have.
        """
        did_run = DidRun.UNKNOWN if pending.ambiguous else DidRun.NO
        is_temporary = reason in (RefusalReason.NO_PRIMARY, RefusalReason.DEADLINE)
        delay_hint_s = retry_after or (RETRY_AFTER_S if is_temporary else 0.0)
        party = Program(mechanism)
        self.finish(pending, Refusal(reason, party, did_run, step, peer, delay_hint_s, detail))

    def refuse_aborted(self, pending: PendingRequest, peer: str) -> None:
        """Refuse a step of a transaction that was rolled back."""
        self.refuse(
            pending,
            RefusalReason.TRANSACTION_ABORTED,
            Mechanism.TRANSACTION,
            "run statement",
            "the transaction lost its connection and was rolled back",
            peer,
        )

    def retry(self, pending: PendingRequest, reason: str) -> None:
        """Queue a request for another attempt after a backoff, if the retry budget allows it."""
        service = pending.request.service
        remaining = self._budgets[service].withdraw()
        if remaining is None and self._proxy_state.safeguards.is_enabled(Safeguard.RETRY_BUDGET):
            self._handle_spent_budget(pending)
            return
        self._budgets[service] = remaining or RetryBudget(0.0)
        self._proxy_state.log_event(Event.REQUEST_RETRIED, "retry", pending.request.id, reason)
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(pending.attempts, 10))
        delay_s = backoff_s * self._proxy_state.random.random()
        self._request_table.enqueue(pending, self._proxy_state.now + delay_s)

    def _handle_spent_budget(self, pending: PendingRequest) -> None:
        if pending.ambiguous and pending.request.ledger_id:
            self._resolve(pending)
            return
        self.refuse(
            pending,
            RefusalReason.RETRY_BUDGET,
            Mechanism.RETRY,
            "retry",
            "the share of requests that may be retried is spent",
        )
