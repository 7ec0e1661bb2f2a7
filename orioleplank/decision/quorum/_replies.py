"""Takes upstreams' replies, holds them until they may be shown, and decides what follows."""

from __future__ import annotations

from dataclasses import replace

from orioleplank.decision.quorum._connections import Connections
from orioleplank.decision.quorum._effect import Event
from orioleplank.decision.quorum._ending import Ending
from orioleplank.decision.quorum._exchange import Exchange, Holding, Running
from orioleplank.decision.quorum._mechanism import Switch
from orioleplank.decision.quorum._message import ConnectionId, StatementEnded, StatementStatus
from orioleplank.decision.quorum._node import Node
from orioleplank.decision.quorum._outcomes import Outcomes
from orioleplank.decision.quorum._request import TRANSACTIONAL, Operation
from orioleplank.decision.quorum._table import Table
from orioleplank.decision.quorum._transaction import Fate, Transaction, TransactionKey
from orioleplank.decision.quorum._verdict import (
    Hold,
    Refuse,
    Release,
    Resolve,
    TryAgain,
    Verdict,
    judge_ended,
    judge_held,
)

SMOOTHING = 0.05


class Replies:
    """The replies of upstreams, from their arrival to their release."""

    def __init__(self, node: Node, table: Table, connections: Connections) -> None:
        self._node = node
        self._table = table
        self._connections = connections
        self._statement_times: dict[str, float] = {}
        self.outcomes = Outcomes(node, table, self.keep)
        self.ending = Ending(node, table, self.outcomes.resolve)

    def statement_time(self, service: str) -> float:
        """Return how long a statement of a service takes, in seconds; 0 when not known."""
        return self._statement_times.get(service, 0.0)

    def take(self, message: StatementEnded) -> None:
        """Take an upstream's reply."""
        connection = message.connection
        number = self._table.running.get(connection)
        exchange = self._table.exchanges.get(number) if number is not None else None
        if exchange is None or not self._matches(exchange, message):
            self._node.note(Event.LATE_REPLY_DROPPED, "take reply", connection.instance)
            return
        stage = exchange.stage
        assert isinstance(stage, Running)
        del self._table.running[connection]
        self._connections.end(connection)
        self._settle_connection(exchange, message)
        self._learn(exchange, stage)
        verdict = judge_ended(exchange, message, self._node.views[connection.service])
        if isinstance(verdict, Hold):
            self.keep(replace(exchange, stage=_make_holding(stage, message)))
        else:
            self._follow(exchange, verdict)

    def _matches(self, exchange: Exchange, message: StatementEnded) -> bool:
        if not self._node.mechanisms.on(Switch.MATCHING):
            return True
        stage = exchange.stage
        return isinstance(stage, Running) and stage.statement == message.statement

    def _learn(self, exchange: Exchange, stage: Running) -> None:
        service = exchange.request.service
        taken = self._node.now - stage.sent_at
        known = self._statement_times.get(service, taken)
        self._statement_times[service] = known + SMOOTHING * (taken - known)
        self._table.lanes[service].note_end(exchange, self._node.now)

    def _settle_connection(self, exchange: Exchange, message: StatementEnded) -> None:
        """Give the connection back, or keep it for its transaction."""
        transaction = self._connections.owner(message.connection)
        if transaction is None:
            self._connections.free(message.connection)
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
            self._connections.disown(connection)
            self._connections.free(connection)
        elif message.status is StatementStatus.NO_SLOT and operation is Operation.COMMIT:
            transaction.lifecycle.retract_commit()
        elif message.status is not StatementStatus.NO_SLOT and not done:
            self._connections.disown(connection)
            self.abandon(connection)

    # Holding.

    def keep(self, exchange: Exchange) -> None:
        """Hold a reply, and release it at once when it may be shown."""
        self._table.put(exchange)
        self._table.holding[exchange.request.service].add(exchange.number)
        self._judge(exchange)

    def judge_held(self, service: str) -> None:
        """Look again at all replies of a service that are held."""
        for number in sorted(self._table.holding[service]):
            self._judge(self._table.exchanges[number])

    def _judge(self, exchange: Exchange) -> None:
        assert isinstance(exchange.stage, Holding)
        service = exchange.request.service
        view = self._node.views[service]
        verdict = judge_held(exchange, exchange.stage, view, self._node.now)
        if not isinstance(verdict, Hold):
            self._table.holding[service].discard(exchange.number)
            self._follow(exchange, verdict)
        elif verdict.needs_round:
            self._node.wanted_rounds.add(service)

    def _follow(self, exchange: Exchange, verdict: Verdict) -> None:
        match verdict:
            case Release(answer):
                self.ending.finish(exchange, answer)
            case Refuse(refusal):
                self.ending.finish(exchange, refusal)
            case Resolve():
                self.outcomes.resolve(exchange)
            case TryAgain(why, primary_only):
                self._try_again(exchange, why, primary_only)
            case Hold():
                raise AssertionError("a held reply is judged by _judge")

    def _try_again(self, exchange: Exchange, why: str, primary_only: bool) -> None:
        ran = isinstance(exchange.stage, Holding) and not exchange.request.write
        again = replace(exchange, primary_only=primary_only, ambiguous=exchange.ambiguous or ran)
        if exchange.request.operation in TRANSACTIONAL:
            self._try_transaction_again(again)
        else:
            self.ending.retry(again, why)

    def _try_transaction_again(self, exchange: Exchange) -> None:
        """A step's reply cannot be shown: what it belongs to is over, unless it had no slot."""
        key = TransactionKey(exchange.caller, exchange.request.transaction)
        transaction = self._connections.transactions.get(key)
        if transaction is not None and isinstance(exchange.stage, Running):
            self.ending.retry(exchange, "the instance had no slot")
            return
        if transaction is not None:
            self.abandon(transaction.connection)
        match exchange.request.operation:
            case Operation.BEGIN:
                self.ending.retry(exchange, "the instance did not begin it")
            case Operation.COMMIT:
                self.outcomes.resolve(exchange)
            case _:
                self.ending.refuse_aborted(exchange, "")

    # Lost connections.

    def abandon(self, connection: ConnectionId) -> None:
        """Close a connection that is in doubt; what ran on it is retried or resolved."""
        self._connections.close(connection)
        self.lose(connection)

    def drop_running(self, connection: ConnectionId) -> None:
        """Close a connection whose statement nobody waits for any more."""
        del self._table.running[connection]
        self._connections.doubt(connection)
        self.abandon(connection)

    def lose(self, connection: ConnectionId) -> None:
        """Settle what a lost connection means for its transaction and its statement."""
        fate = self._connections.lose_owner(connection)
        number = self._table.running.pop(connection, None)
        if number is None:
            return
        self._connections.doubt(connection)
        exchange = self._table.exchanges[number]
        self._node.note(Event.CONNECTION_LOST, "run statement", connection.instance)
        ambiguous = replace(exchange, ambiguous=True)
        if fate is None:
            self.ending.retry(ambiguous, "its connection was lost")
        elif fate is Fate.AMBIGUOUS:
            self.outcomes.resolve(ambiguous)
        else:
            self.ending.refuse_aborted(exchange, connection.instance)


def _make_holding(stage: Running, message: StatementEnded) -> Holding:
    return Holding(
        message.position,
        message.result,
        message.connection.instance,
        stage.term,
        stage.by_replica,
        message.status is StatementStatus.REPEATED,
        message.status is StatementStatus.TOMBSTONED,
    )
