"""Takes upstreams' replies, holds them until they may be shown, and decides what follows."""

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

SMOOTHING = 0.05


class ReplyHandler:
    """The replies of upstreams, from their arrival to their release."""

    def __init__(
        self, node: ProxyState, table: RequestTable, connections: ConnectionManager
    ) -> None:
        self._node = node
        self._table = table
        self._connections = connections
        self._statement_times: dict[str, float] = {}
        self.outcome_resolver = OutcomeResolver(node, table, self.keep)
        self.completion = RequestCompletion(node, table, self.outcome_resolver.resolve)

    def mean_statement_time(self, service: str) -> float:
        """Return how long a statement of a service takes, in seconds; 0 when not known."""
        return self._statement_times.get(service, 0.0)

    def handle_reply(self, message: StatementEnded) -> None:
        """Take an upstream's reply."""
        connection = message.connection
        number = self._table.running.get(connection)
        exchange = self._table.pending.get(number) if number is not None else None
        if exchange is None or not self._matches(exchange, message):
            self._node.log_event(Event.LATE_REPLY_DROPPED, "take reply", connection.instance)
            return
        stage = exchange.stage
        assert isinstance(stage, Running)
        del self._table.running[connection]
        self._connections.end_statement(connection)
        self._settle_connection(exchange, message)
        self._learn(exchange, stage)
        verdict = decide_reply(exchange, message, self._node.group_views[connection.service])
        if isinstance(verdict, HoldReply):
            self.keep(replace(exchange, stage=_make_holding(stage, message)))
        else:
            self._follow(exchange, verdict)

    def _matches(self, exchange: PendingRequest, message: StatementEnded) -> bool:
        if not self._node.safeguards.is_enabled(Safeguard.MATCHING):
            return True
        stage = exchange.stage
        return isinstance(stage, Running) and stage.statement == message.statement

    def _learn(self, exchange: PendingRequest, stage: Running) -> None:
        service = exchange.request.service
        taken = self._node.now - stage.sent_at
        known = self._statement_times.get(service, taken)
        self._statement_times[service] = known + SMOOTHING * (taken - known)
        self._table.queues[service].record_completion(exchange, self._node.now)

    def _settle_connection(self, exchange: PendingRequest, message: StatementEnded) -> None:
        """Give the connection back, or keep it for its transaction."""
        transaction = self._connections.pinned_transaction(message.connection)
        if transaction is None:
            self._connections.release(message.connection)
        else:
            self._settle_transaction(transaction, exchange.request.operation, message)

    def _settle_transaction(
        self, transaction: Transaction, operation: Operation, message: StatementEnded
    ) -> None:
        connection = message.connection
        done = message.status in (StatementStatus.DONE, StatementStatus.REPEATED)
        if operation is Operation.BEGIN and done:
            transaction.lifecycle.open()
        elif operation in (Operation.COMMIT, Operation.ROLLBACK) and done:
            self._connections.unpin_transaction(connection)
            self._connections.release(connection)
        elif message.status is StatementStatus.NO_SLOT and operation is Operation.COMMIT:
            transaction.lifecycle.retract_commit()
        elif message.status is not StatementStatus.NO_SLOT and not done:
            self._connections.unpin_transaction(connection)
            self.abandon_connection(connection)

    # Holding.

    def keep(self, exchange: PendingRequest) -> None:
        """Hold a reply, and release it at once when it may be shown."""
        self._table.save(exchange)
        self._table.held_replies[exchange.request.service].add(exchange.number)
        self._judge(exchange)

    def recheck_held(self, service: str) -> None:
        """Look again at all replies of a service that are held."""
        for number in sorted(self._table.held_replies[service]):
            self._judge(self._table.pending[number])

    def _judge(self, exchange: PendingRequest) -> None:
        assert isinstance(exchange.stage, ReplyHeld)
        service = exchange.request.service
        view = self._node.group_views[service]
        verdict = decide_held_reply(exchange, exchange.stage, view, self._node.now)
        if not isinstance(verdict, HoldReply):
            self._table.held_replies[service].discard(exchange.number)
            self._follow(exchange, verdict)
        elif verdict.needs_round:
            self._node.requested_rounds.add(service)

    def _follow(self, exchange: PendingRequest, verdict: ReplyDecision) -> None:
        match verdict:
            case ReleaseAnswer(answer):
                self.completion.finish(exchange, answer)
            case RefuseRequest(refusal):
                self.completion.finish(exchange, refusal)
            case ResolveOutcome():
                self.outcome_resolver.resolve(exchange)
            case RetryRequest(why, primary_only):
                self._try_again(exchange, why, primary_only)
            case HoldReply():
                raise AssertionError("a held reply is judged by _judge")

    def _try_again(self, exchange: PendingRequest, why: str, primary_only: bool) -> None:
        ran = isinstance(exchange.stage, ReplyHeld) and not exchange.request.write
        again = replace(exchange, primary_only=primary_only, ambiguous=exchange.ambiguous or ran)
        if exchange.request.operation in TRANSACTION_OPERATIONS:
            self._try_transaction_again(again)
        else:
            self.completion.retry(again, why)

    def _try_transaction_again(self, exchange: PendingRequest) -> None:
        """A step's reply cannot be shown: what it belongs to is over, unless it had no slot."""
        key = TransactionKey(exchange.caller, exchange.request.transaction)
        transaction = self._connections.transactions.get(key)
        if transaction is not None and isinstance(exchange.stage, Running):
            self.completion.retry(exchange, "the instance had no slot")
            return
        if transaction is not None:
            self.abandon_connection(transaction.connection)
        match exchange.request.operation:
            case Operation.BEGIN:
                self.completion.retry(exchange, "the instance did not begin it")
            case Operation.COMMIT:
                self.outcome_resolver.resolve(exchange)
            case _:
                self.completion.refuse_aborted(exchange, "")

    # Lost connections.

    def abandon_connection(self, connection: ConnectionId) -> None:
        """Close a connection that is in doubt; what ran on it is retried or resolved."""
        self._connections.close(connection)
        self.handle_lost_connection(connection)

    def abandon_statement(self, connection: ConnectionId) -> None:
        """Close a connection whose statement nobody waits for any more."""
        del self._table.running[connection]
        self._connections.mark_statement_uncertain(connection)
        self.abandon_connection(connection)

    def handle_lost_connection(self, connection: ConnectionId) -> None:
        """Settle what a lost connection means for its transaction and its statement."""
        fate = self._connections.abort_transaction(connection)
        number = self._table.running.pop(connection, None)
        if number is None:
            return
        self._connections.mark_statement_uncertain(connection)
        exchange = self._table.pending[number]
        self._node.log_event(Event.CONNECTION_LOST, "run statement", connection.instance)
        ambiguous = replace(exchange, ambiguous=True)
        if fate is None:
            self.completion.retry(ambiguous, "its connection was lost")
        elif fate is TransactionOutcome.AMBIGUOUS:
            self.outcome_resolver.resolve(ambiguous)
        else:
            self.completion.refuse_aborted(exchange, connection.instance)


def _make_holding(stage: Running, message: StatementEnded) -> ReplyHeld:
    return ReplyHeld(
        message.position,
        message.result,
        message.connection.instance,
        stage.term,
        stage.by_replica,
        message.status is StatementStatus.REPEATED,
        message.status is StatementStatus.TOMBSTONED,
    )
