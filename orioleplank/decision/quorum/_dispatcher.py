"""Sends requests that wait to instances that have a slot and a connection for them."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from types import MappingProxyType

from orioleplank.decision.quorum._connection_manager import ConnectionManager
from orioleplank.decision.quorum._effect import Boundary, SendStatement
from orioleplank.decision.quorum._message import ConnectionId
from orioleplank.decision.quorum._pending_request import PendingRequest, Queued, Running
from orioleplank.decision.quorum._proxy_state import InstanceKey, ProxyState
from orioleplank.decision.quorum._refusal import Mechanism, RefusalReason
from orioleplank.decision.quorum._reply_handler import ReplyHandler
from orioleplank.decision.quorum._request import TRANSACTION_OPERATIONS, Operation
from orioleplank.decision.quorum._request_queues import QueueName
from orioleplank.decision.quorum._request_table import RequestTable
from orioleplank.decision.quorum._routing import (
    NoTargetYet,
    PositionLost,
    RouteToPrimary,
    RouteToReplica,
    RoutingContext,
    choose_target,
)
from orioleplank.decision.quorum._safeguards import Safeguard
from orioleplank.decision.quorum._slot_manager import SlotManager
from orioleplank.decision.quorum._transaction import Transaction, TransactionKey

SCAN_LIMIT = 64
MISSES_LIMIT = 8

_STEPS = TRANSACTION_OPERATIONS - {Operation.BEGIN}
_BOUNDARIES = MappingProxyType(
    {
        Operation.RUN: Boundary.AUTO,
        Operation.BEGIN: Boundary.BEGIN,
        Operation.STEP: Boundary.STEP,
        Operation.COMMIT: Boundary.COMMIT,
        Operation.ROLLBACK: Boundary.ROLLBACK,
    }
)


class Dispatcher:
    """Sends what waits."""

    def __init__(
        self,
        node: ProxyState,
        table: RequestTable,
        connections: ConnectionManager,
        replies: ReplyHandler,
        allotments: SlotManager,
    ) -> None:
        self._node = node
        self._table = table
        self._connections = connections
        self._replies = replies
        self._allotments = allotments
        self._statements = 0

    def dispatch(self, service: str) -> None:
        """Send what can be sent of the requests of a service."""
        self._allotments.grant_queued_requests(service)
        if not self._table.queues[service]:
            return
        around = self._node.routing_context(service)
        for lane in QueueName:
            self._dispatch_lane(lane, around, service)

    def _dispatch_lane(self, lane: QueueName, around: RoutingContext, service: str) -> None:
        """Send from the head of a lane until some in a row found no room."""
        misses = 0
        demand: defaultdict[str, int] = defaultdict(int)
        for number in self._table.queues[service].first_numbers(lane, SCAN_LIMIT):
            exchange = self._table.pending.get(number)
            if misses >= MISSES_LIMIT:
                break
            if exchange is None or not self._is_due(exchange):
                continue
            if exchange.request.operation in _STEPS:
                self._send_step(exchange)
            elif not self._send_somewhere(exchange, around, demand):
                misses += 1
        for instance, wanted in demand.items():
            self._connections.open_for_demand(service, instance, wanted)

    def _is_due(self, exchange: PendingRequest) -> bool:
        """Tell whether a request may be sent now; one that cannot make its deadline is refused."""
        if not isinstance(exchange.stage, Queued) or exchange.stage.not_before > self._node.now:
            return False
        left = exchange.request.deadline - self._node.now
        if (
            left >= self._replies.mean_statement_time(exchange.request.service)
            or exchange.ambiguous
        ):
            return True
        self._replies.completion.refuse(
            exchange,
            RefusalReason.OVERLOADED,
            Mechanism.ADMISSION,
            "wait in queue",
            "it waited until it could not make its deadline",
        )
        return False

    def _send_somewhere(
        self, exchange: PendingRequest, around: RoutingContext, demand: defaultdict[str, int]
    ) -> bool:
        target = choose_target(exchange.request, around, exchange.primary_only, self._node.random)
        match target:
            case RouteToPrimary(instance, term):
                sent = self._send(exchange, instance, term, False)
            case RouteToReplica(instance):
                sent = self._send(exchange, instance, 0, True)
            case PositionLost(position):
                self._refuse_lost(exchange, str(position))
                return True
            case NoTargetYet():
                return False
        if not sent:
            demand[instance] += 1
        return sent

    def _refuse_lost(self, exchange: PendingRequest, position: str) -> None:
        self._replies.completion.refuse(
            exchange,
            RefusalReason.POSITION_LOST,
            Mechanism.SESSION,
            "choose instance",
            f"the session has seen {position}, which did not survive a promotion",
        )

    def _send(self, exchange: PendingRequest, instance: str, term: int, by_replica: bool) -> bool:
        service = exchange.request.service
        if not self._has_slot(service, instance):
            return False
        connection = self._connections.acquire(service, instance)
        if connection is None:
            return False
        if exchange.request.operation is Operation.BEGIN:
            key = TransactionKey(exchange.caller, exchange.request.transaction)
            self._connections.pin_transaction(key, connection, term)
        self._table.dequeue(exchange)
        self._send_on(exchange, connection, term, by_replica)
        self._connections.open_for_demand(service, instance, 0)
        return True

    def _has_slot(self, service: str, instance: str) -> bool:
        if self._node.pools[service][instance].has_free_slot:
            return True
        self._node.starved_instances.add(InstanceKey(service, instance))
        return False

    def _send_on(
        self, exchange: PendingRequest, connection: ConnectionId, term: int, by_replica: bool
    ) -> None:
        node, request = self._node, exchange.request
        self._statements += 1
        self._connections.start_statement(connection)
        stage = Running(connection, self._statements, term, by_replica, node.now)
        self._table.save(replace(exchange, stage=stage, attempts=exchange.attempts + 1))
        self._table.running[connection] = exchange.number
        ledger_id = request.ledger_id if node.safeguards.is_enabled(Safeguard.LEDGER) else ""
        node.emit(
            SendStatement(
                connection,
                self._statements,
                term,
                ledger_id,
                request.payload,
                request.write,
                _BOUNDARIES[request.operation],
            )
        )

    def _send_step(self, exchange: PendingRequest) -> None:
        request = exchange.request
        key = TransactionKey(exchange.caller, request.transaction)
        transaction = self._connections.transactions.get(key)
        if transaction is None:
            self._refuse_unknown(exchange)
        elif self._may_step(transaction, request.service):
            if request.operation is Operation.COMMIT:
                transaction.lifecycle.begin_commit()
            self._connections.touch(transaction)
            self._table.dequeue(exchange)
            self._send_on(exchange, transaction.connection, transaction.term, False)

    def _may_step(self, transaction: Transaction, service: str) -> bool:
        if transaction.connection in self._table.running:
            return False
        if not self._has_slot(service, transaction.connection.instance):
            return False
        return transaction.lifecycle.accepts_steps()

    def _refuse_unknown(self, exchange: PendingRequest) -> None:
        """Refuse a step of a transaction that is not open here; a commit may have been sent."""
        if exchange.request.operation is Operation.COMMIT:
            self._table.dequeue(exchange)
            self._replies.outcome_resolver.resolve(exchange)
            return
        self._replies.completion.refuse(
            exchange,
            RefusalReason.UNKNOWN_TRANSACTION,
            Mechanism.TRANSACTION,
            "find transaction",
            "the transaction is not open on this proxy; what was not committed is rolled back",
        )
