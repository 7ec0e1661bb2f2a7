"""Handles upstream replies: holds each until it may be released, then applies the decision."""

from __future__ import annotations

from dataclasses import replace

from orioleplank.decision.quorum._completion import RequestCompletion
from orioleplank.decision.quorum._connection_manager import ConnectionManager
from orioleplank.decision.quorum._effect import Event
from orioleplank.decision.quorum._message import ConnectionId, StatementEnded, StatementStatus
from orioleplank.decision.quorum._outcome_resolver import OutcomeResolver
from orioleplank.decision.quorum._pending_request import PendingRequest, ReplyHeld, Running
from orioleplank.decision.quorum._proxy_state import ProxyState
from orioleplank.decision.quorum._reply_decision import (
    HoldReply,
    RefuseRequest,
    ReleaseAnswer,
    ReplyDecision,
    ResolveOutcome,
    RetryRequest,
    decide_held_reply,
    decide_reply,
)
from orioleplank.decision.quorum._request import TRANSACTION_OPERATIONS, Operation
from orioleplank.decision.quorum._request_table import RequestTable
from orioleplank.decision.quorum._safeguards import Safeguard
from orioleplank.decision.quorum._transaction import Transaction, TransactionKey, TransactionOutcome

# Weight of the newest sample in the moving average of statement times.
STATEMENT_TIME_SMOOTHING = 0.05


class ReplyHandler:
    """Handles upstream replies from arrival to release, and the loss of connections."""

    def __init__(
        self,
        proxy_state: ProxyState,
        request_table: RequestTable,
        connection_manager: ConnectionManager,
    ) -> None:
        self._proxy_state = proxy_state
        self._request_table = request_table
        self._connection_manager = connection_manager
        self._mean_statement_times: dict[str, float] = {}
        self.outcome_resolver = OutcomeResolver(proxy_state, request_table, self.hold)
        self.completion = RequestCompletion(
            proxy_state, request_table, self.outcome_resolver.resolve
        )

    def mean_statement_time(self, service: str) -> float:
        """Return the moving average of statement times of a service, in seconds; 0 if unknown."""
        return self._mean_statement_times.get(service, 0.0)

    def handle_reply(self, message: StatementEnded) -> None:
        """Process the reply to a statement.

        A reply that does not match the running statement of its connection is dropped.
        """
        connection = message.connection
        number = self._request_table.running.get(connection)
        pending = self._request_table.requests.get(number) if number is not None else None
        if pending is None or not self._matches_running_statement(pending, message):
            self._proxy_state.log_event(Event.LATE_REPLY_DROPPED, "take reply", connection.instance)
            return
        stage = pending.stage
        assert isinstance(stage, Running)
        del self._request_table.running[connection]
        self._connection_manager.end_statement(connection)
        self._update_connection(pending, message)
        self._record_statement_time(pending, stage)
        decision = decide_reply(pending, message, self._proxy_state.group_views[connection.service])
        if isinstance(decision, HoldReply):
            self.hold(replace(pending, stage=_make_held_reply(stage, message)))
        else:
            self._apply_decision(pending, decision)

    def _matches_running_statement(self, pending: PendingRequest, message: StatementEnded) -> bool:
        if not self._proxy_state.safeguards.is_enabled(Safeguard.MATCHING):
            return True
        stage = pending.stage
        return isinstance(stage, Running) and stage.statement == message.statement

    def _record_statement_time(self, pending: PendingRequest, stage: Running) -> None:
        service = pending.request.service
        duration = self._proxy_state.now - stage.sent_at
        mean = self._mean_statement_times.get(service, duration)
        self._mean_statement_times[service] = mean + STATEMENT_TIME_SMOOTHING * (duration - mean)
        self._request_table.queues[service].record_completion(pending, self._proxy_state.now)

    def _update_connection(self, pending: PendingRequest, message: StatementEnded) -> None:
        """Return the connection to its pool, unless a transaction owns it."""
        transaction = self._connection_manager.pinned_transaction(message.connection)
        if transaction is None:
            self._connection_manager.release(message.connection)
        else:
            self._update_transaction(transaction, pending.request.operation, message)

    def _update_transaction(
        self, transaction: Transaction, operation: Operation, message: StatementEnded
    ) -> None:
        connection = message.connection
        done = message.status in (StatementStatus.DONE, StatementStatus.REPEATED)
        if operation is Operation.BEGIN and done:
            transaction.lifecycle.open()
        elif operation in (Operation.COMMIT, Operation.ROLLBACK) and done:
            self._connection_manager.unpin_transaction(connection)
            self._connection_manager.release(connection)
        elif message.status is StatementStatus.NO_SLOT and operation is Operation.COMMIT:
            transaction.lifecycle.retract_commit()
        elif message.status is not StatementStatus.NO_SLOT and not done:
            self._connection_manager.unpin_transaction(connection)
            self.abandon_connection(connection)

    # Held replies.

    def hold(self, pending: PendingRequest) -> None:
        """Hold a reply; release it at once if it may already be released."""
        self._request_table.save(pending)
        self._request_table.held_replies[pending.request.service].add(pending.number)
        self._decide_held(pending)

    def recheck_held(self, service: str) -> None:
        """Decide again on all held replies of a service."""
        for number in sorted(self._request_table.held_replies[service]):
            self._decide_held(self._request_table.requests[number])

    def _decide_held(self, pending: PendingRequest) -> None:
        assert isinstance(pending.stage, ReplyHeld)
        service = pending.request.service
        view = self._proxy_state.group_views[service]
        decision = decide_held_reply(pending, pending.stage, view, self._proxy_state.now)
        if not isinstance(decision, HoldReply):
            self._request_table.held_replies[service].discard(pending.number)
            self._apply_decision(pending, decision)
        elif decision.needs_round:
            self._proxy_state.requested_rounds.add(service)

    def _apply_decision(self, pending: PendingRequest, decision: ReplyDecision) -> None:
        match decision:
            case ReleaseAnswer(answer):
                self.completion.finish(pending, answer)
            case RefuseRequest(refusal):
                self.completion.finish(pending, refusal)
            case ResolveOutcome():
                self.outcome_resolver.resolve(pending)
            case RetryRequest(reason, primary_only):
                self._retry(pending, reason, primary_only)
            case HoldReply():
                raise AssertionError("HoldReply must be handled before _apply_decision")

    def _retry(self, pending: PendingRequest, reason: str, primary_only: bool) -> None:
        is_executed_read = isinstance(pending.stage, ReplyHeld) and not pending.request.write
        retried = replace(
            pending, primary_only=primary_only, ambiguous=pending.ambiguous or is_executed_read
        )
        if pending.request.operation in TRANSACTION_OPERATIONS:
            self._retry_transaction_step(retried)
        else:
            self.completion.retry(retried, reason)

    def _retry_transaction_step(self, pending: PendingRequest) -> None:
        """Handle a transaction step whose reply cannot be released.

        If the instance only had no slot for the step, the step is retried. Otherwise the
        transaction is rolled back: a begin is retried, a commit is resolved through the ledger, and
        any other step is refused.
        """
        key = TransactionKey(pending.caller, pending.request.transaction)
        transaction = self._connection_manager.transactions.get(key)
        if transaction is not None and isinstance(pending.stage, Running):
            self.completion.retry(pending, "the instance had no slot")
            return
        if transaction is not None:
            self.abandon_connection(transaction.connection)
        match pending.request.operation:
            case Operation.BEGIN:
                self.completion.retry(pending, "the instance did not begin it")
            case Operation.COMMIT:
                self.outcome_resolver.resolve(pending)
            case _:
                self.completion.refuse_aborted(pending, "")

    # Lost connections.

    def abandon_connection(self, connection: ConnectionId) -> None:
        """Close a connection that is in doubt; its statement is retried, resolved or refused."""
        self._connection_manager.close(connection)
        self.handle_lost_connection(connection)

    def abandon_statement(self, connection: ConnectionId) -> None:
        """Close a connection whose statement is no longer needed, without a retry."""
        del self._request_table.running[connection]
        self._connection_manager.mark_statement_uncertain(connection)
        self.abandon_connection(connection)

    def handle_lost_connection(self, connection: ConnectionId) -> None:
        """End the transaction and the statement of a lost connection.

        A statement outside a transaction is retried. A transaction whose commit may have been
        applied is resolved through the ledger; any other is refused as aborted.
        """
        outcome = self._connection_manager.abort_transaction(connection)
        number = self._request_table.running.pop(connection, None)
        if number is None:
            return
        self._connection_manager.mark_statement_uncertain(connection)
        pending = self._request_table.requests[number]
        self._proxy_state.log_event(Event.CONNECTION_LOST, "run statement", connection.instance)
        ambiguous = replace(pending, ambiguous=True)
        if outcome is None:
            self.completion.retry(ambiguous, "its connection was lost")
        elif outcome is TransactionOutcome.AMBIGUOUS:
            self.outcome_resolver.resolve(ambiguous)
        else:
            self.completion.refuse_aborted(pending, connection.instance)


def _make_held_reply(stage: Running, message: StatementEnded) -> ReplyHeld:
    return ReplyHeld(
        message.position,
        message.result,
        message.connection.instance,
        stage.term,
        stage.by_replica,
        message.status is StatementStatus.REPEATED,
        message.status is StatementStatus.TOMBSTONED,
    )
