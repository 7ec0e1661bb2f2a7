"""Sends queued requests to instances that have a free slot and a free connection."""

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

# Requests examined at the head of a queue in one dispatch.
SCAN_LIMIT = 64
# A dispatch of a queue ends after this many requests could not be sent.
MAX_MISSES = 8

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
    """Sends queued requests in queue order, as slots and connections become free."""

    def __init__(
        self,
        proxy_state: ProxyState,
        request_table: RequestTable,
        connection_manager: ConnectionManager,
        reply_handler: ReplyHandler,
        slot_manager: SlotManager,
    ) -> None:
        self._proxy_state = proxy_state
        self._request_table = request_table
        self._connection_manager = connection_manager
        self._reply_handler = reply_handler
        self._slot_manager = slot_manager
        self._last_statement_number = 0

    def dispatch(self, service: str) -> None:
        """Send the queued requests of a service that can be sent now."""
        self._slot_manager.grant_queued_requests(service)
        if not self._request_table.queues[service]:
            return
        context = self._proxy_state.routing_context(service)
        for queue_name in QueueName:
            self._dispatch_queue(queue_name, context, service)

    def _dispatch_queue(self, queue_name: QueueName, context: RoutingContext, service: str) -> None:
        """Send from the head of a queue until `MAX_MISSES` requests could not be sent.

        Opens connections to the instances that had no free one.
        """
        misses = 0
        demand: defaultdict[str, int] = defaultdict(int)
        for number in self._request_table.queues[service].first_numbers(queue_name, SCAN_LIMIT):
            pending = self._request_table.requests.get(number)
            if misses >= MAX_MISSES:
                break
            if pending is None or not self._is_due(pending):
                continue
            if pending.request.operation in _STEPS:
                self._send_step(pending)
            elif not self._send_to_target(pending, context, demand):
                misses += 1
        for instance, count in demand.items():
            self._connection_manager.open_for_demand(service, instance, count)

    def _is_due(self, pending: PendingRequest) -> bool:
        """Return whether a request may be sent now.

        A request with less time left than a statement takes on average is refused, unless it may
        have run.
        """
        if (
            not isinstance(pending.stage, Queued)
            or pending.stage.not_before > self._proxy_state.now
        ):
            return False
        remaining_s = pending.request.deadline - self._proxy_state.now
        if (
            remaining_s >= self._reply_handler.mean_statement_time(pending.request.service)
            or pending.ambiguous
        ):
            return True
        self._reply_handler.completion.refuse(
            pending,
            RefusalReason.OVERLOADED,
            Mechanism.ADMISSION,
            "wait in queue",
            "it waited until it could not make its deadline",
        )
        return False

    def _send_to_target(
        self, pending: PendingRequest, context: RoutingContext, demand: defaultdict[str, int]
    ) -> bool:
        target = choose_target(
            pending.request, context, pending.primary_only, self._proxy_state.random
        )
        match target:
            case RouteToPrimary(instance, term):
                sent = self._send(pending, instance, term, False)
            case RouteToReplica(instance):
                sent = self._send(pending, instance, 0, True)
            case PositionLost(position):
                self._refuse_position_lost(pending, str(position))
                return True
            case NoTargetYet():
                return False
        if not sent:
            demand[instance] += 1
        return sent

    def _refuse_position_lost(self, pending: PendingRequest, position: str) -> None:
        self._reply_handler.completion.refuse(
            pending,
            RefusalReason.POSITION_LOST,
            Mechanism.SESSION,
            "choose instance",
            f"the session has seen {position}, which did not survive a promotion",
        )

    def _send(self, pending: PendingRequest, instance: str, term: int, by_replica: bool) -> bool:
        service = pending.request.service
        if not self._has_slot(service, instance):
            return False
        connection = self._connection_manager.acquire(service, instance)
        if connection is None:
            return False
        if pending.request.operation is Operation.BEGIN:
            key = TransactionKey(pending.caller, pending.request.transaction)
            self._connection_manager.pin_transaction(key, connection, term)
        self._request_table.dequeue(pending)
        self._send_on_connection(pending, connection, term, by_replica)
        self._connection_manager.open_for_demand(service, instance, 0)
        return True

    def _has_slot(self, service: str, instance: str) -> bool:
        if self._proxy_state.pools[service][instance].has_free_slot:
            return True
        self._proxy_state.starved_instances.add(InstanceKey(service, instance))
        return False

    def _send_on_connection(
        self, pending: PendingRequest, connection: ConnectionId, term: int, by_replica: bool
    ) -> None:
        proxy_state, request = self._proxy_state, pending.request
        self._last_statement_number += 1
        self._connection_manager.start_statement(connection)
        stage = Running(connection, self._last_statement_number, term, by_replica, proxy_state.now)
        self._request_table.save(replace(pending, stage=stage, attempts=pending.attempts + 1))
        self._request_table.running[connection] = pending.number
        ledger_id = request.ledger_id if proxy_state.safeguards.is_enabled(Safeguard.LEDGER) else ""
        proxy_state.emit(
            SendStatement(
                connection,
                self._last_statement_number,
                term,
                ledger_id,
                request.payload,
                request.write,
                _BOUNDARIES[request.operation],
            )
        )

    def _send_step(self, pending: PendingRequest) -> None:
        request = pending.request
        key = TransactionKey(pending.caller, request.transaction)
        transaction = self._connection_manager.transactions.get(key)
        if transaction is None:
            self._handle_unknown_transaction(pending)
        elif self._may_send_step(transaction, request.service):
            if request.operation is Operation.COMMIT:
                transaction.lifecycle.begin_commit()
            self._connection_manager.touch(transaction)
            self._request_table.dequeue(pending)
            self._send_on_connection(pending, transaction.connection, transaction.term, False)

    def _may_send_step(self, transaction: Transaction, service: str) -> bool:
        if transaction.connection in self._request_table.running:
            return False
        if not self._has_slot(service, transaction.connection.instance):
            return False
        return transaction.lifecycle.accepts_steps()

    def _handle_unknown_transaction(self, pending: PendingRequest) -> None:
        """Handle a step of a transaction that is not open on this proxy.

        A commit may have been sent earlier, so its outcome is resolved; other steps are refused.
        """
        if pending.request.operation is Operation.COMMIT:
            self._request_table.dequeue(pending)
            self._reply_handler.outcome_resolver.resolve(pending)
            return
        self._reply_handler.completion.refuse(
            pending,
            RefusalReason.UNKNOWN_TRANSACTION,
            Mechanism.TRANSACTION,
            "find transaction",
            "the transaction is not open on this proxy; what was not committed is rolled back",
        )
