"""Handles requests from arrival to reply: admission, queueing, deadlines and redirection."""

from __future__ import annotations

from dataclasses import replace

from orioleplank.decision.quorum._admission import check_admission
from orioleplank.decision.quorum._connection_manager import ConnectionManager
from orioleplank.decision.quorum._dispatcher import Dispatcher
from orioleplank.decision.quorum._effect import Reply
from orioleplank.decision.quorum._message import (
    ConnectionClosed,
    ConnectionOpened,
    LedgerAnswered,
    RequestArrived,
    StatementEnded,
)
from orioleplank.decision.quorum._pending_request import (
    PendingRequest,
    Queued,
    ReplyHeld,
    Resolving,
    Running,
)
from orioleplank.decision.quorum._proxy_state import ProxyState
from orioleplank.decision.quorum._refusal import DidRun, Mechanism, Program, Refusal, RefusalReason
from orioleplank.decision.quorum._reply_handler import ReplyHandler
from orioleplank.decision.quorum._request import Operation, Request
from orioleplank.decision.quorum._request_queues import QueueName, choose_queue
from orioleplank.decision.quorum._request_table import RequestTable
from orioleplank.decision.quorum._slot_manager import SlotManager
from orioleplank.decision.quorum._transaction import TransactionKey

# Callers of a service are redirected when this proxy has reached no primary, or had no slots, for
# this long while another proxy serves the service.
REDIRECT_DELAY_S = 0.6
# This long before its deadline, a queued write that may have run is no longer retried; its outcome
# is looked up in the ledger instead. If a third of the request's time limit is shorter, that is
# used instead.
RESOLVE_MARGIN_S = 0.5
# A statement without a reply is abandoned and retried after half of the time until its deadline,
# but only when that half is at least this long.
MIN_ATTEMPT_S = 0.5

_REASONS_WITHOUT_KNOWN_KIND = frozenset(
    {RefusalReason.UNKNOWN_SERVICE, RefusalReason.UNKNOWN_KIND, RefusalReason.NOT_CONFIGURED}
)


class RequestManager:
    """Manages all requests in progress on one proxy."""

    def __init__(self, proxy_state: ProxyState, slot_manager: SlotManager) -> None:
        self._proxy_state = proxy_state
        self._request_table = RequestTable()
        self._connection_manager = ConnectionManager(proxy_state)
        self._reply_handler = ReplyHandler(
            proxy_state, self._request_table, self._connection_manager
        )
        self._dispatcher = Dispatcher(
            proxy_state,
            self._request_table,
            self._connection_manager,
            self._reply_handler,
            slot_manager,
        )
        self._headless_since: dict[str, float] = {}

    @property
    def is_busy(self) -> bool:
        """True while a request or a transaction is in progress."""
        return bool(self._request_table.requests or self._connection_manager.transactions)

    @property
    def is_redirecting(self) -> bool:
        """True while callers of at least one service are redirected to another proxy."""
        return bool(self._reply_handler.completion.redirected_services)

    def queue_length(self, service: str) -> int:
        """Return the number of queued requests of `service`."""
        return len(self._request_table.queues[service])

    def ask_callers_to_reconnect(self) -> None:
        """From now on, set the reconnect flag in every reply, so that callers switch proxies."""
        self._reply_handler.completion.should_reconnect = True

    # Arrival.

    def handle_request(self, message: RequestArrived, accepts_requests: bool) -> None:
        """Admit a request, or refuse it at once.

        If the queue is full, a queued request of lower weight may be refused instead.
        `accepts_requests` is False once the proxy refuses new requests.
        """
        request = message.request
        refusal = self._find_refusal(message, accepts_requests)
        if refusal is None and request.id in self._request_table.numbers_by_request_id:
            refusal = _refuse_id_in_use(request)
        if refusal is not None and refusal.reason is RefusalReason.OVERLOADED:
            refusal = None if self._evict_lower_weight(request) else refusal
        if refusal is not None:
            should_reconnect = self._reply_handler.completion.should_reconnect
            has_known_kind = refusal.reason not in _REASONS_WITHOUT_KNOWN_KIND
            self._proxy_state.emit(
                Reply(message.caller, request, refusal, should_reconnect, 0.0, 0, has_known_kind)
            )
            return
        self._accept(message)

    def _find_refusal(self, message: RequestArrived, accepts_requests: bool) -> Refusal | None:
        request, key = message.request, TransactionKey(message.caller, message.request.transaction)
        in_open_transaction = key in self._connection_manager.transactions
        queue_length, wait_s = self._estimate_wait(request)
        return check_admission(
            request,
            self._proxy_state,
            queue_length,
            wait_s,
            accepts_requests or in_open_transaction,
            in_open_transaction,
        )

    def _estimate_wait(self, request: Request) -> tuple[int, float]:
        """Return the queue length of the service and the expected wait of `request`, in seconds."""
        spec = self._proxy_state.configuration.service(request.service)
        kind = spec.kind(request.kind) if spec is not None else None
        if kind is None:
            return 0, 0.0
        service_queues, queue_name = self._request_table.queues[request.service], choose_queue(
            request
        )
        return len(service_queues), service_queues.estimate_wait(
            queue_name, service_queues.count_ahead(queue_name, kind.weight), self._proxy_state.now
        )

    def _evict_lower_weight(self, request: Request) -> bool:
        """Refuse the last queued request if its weight is lower than that of `request`.

        A request that has been sent, or that may have run, is not evicted. Returns True when a
        request was refused.
        """
        service_queues = self._request_table.queues[request.service]
        kind = self._proxy_state.service_spec(request.service).kind(request.kind)
        number = service_queues.last_number(choose_queue(request))
        if number is None or kind is None:
            return False
        pending = self._request_table.requests[number]
        if pending.weight >= kind.weight or pending.attempts or pending.ambiguous:
            return False
        self._reply_handler.completion.refuse(
            pending,
            RefusalReason.OVERLOADED,
            Mechanism.ADMISSION,
            "wait in queue",
            "heavier requests came and the queue is full",
            retry_after=1.0,
        )
        return True

    def _accept(self, message: RequestArrived) -> None:
        proxy_state, request_table, request = (
            self._proxy_state,
            self._request_table,
            message.request,
        )
        preset, _ = proxy_state.configuration.preset_in_force()
        self._reply_handler.completion.deposit_retry(request.service, preset.retry_share)
        kind = proxy_state.service_spec(request.service).kind(request.kind)
        pending = PendingRequest(
            request_table.next_number(),
            message.caller,
            request,
            proxy_state.now,
            kind.weight if kind else 1,
            ambiguous=request.may_have_run,
        )
        request_table.numbers_by_request_id[request.id] = pending.number
        request_table.schedule_check(request.deadline, pending)
        if request.ledger_id:
            margin_s = min(RESOLVE_MARGIN_S, (request.deadline - proxy_state.now) / 3)
            request_table.schedule_check(request.deadline - margin_s, pending)
        if request.operation is Operation.OUTCOME:
            self._reply_handler.outcome_resolver.resolve(pending)
            return
        request_table.enqueue(pending)
        self._dispatcher.dispatch(request.service)

    # Messages from upstreams.

    def handle_connection_opened(self, message: ConnectionOpened) -> None:
        """Add a new connection to its pool and dispatch queued requests."""
        if self._connection_manager.add_opened(message):
            self._dispatcher.dispatch(message.connection.service)

    def handle_connection_closed(self, message: ConnectionClosed) -> None:
        """Remove a closed connection.

        Its statement is retried, resolved or refused, and its transaction ends.
        """
        if self._connection_manager.remove(message.connection):
            self._reply_handler.handle_lost_connection(message.connection)
            self._dispatcher.dispatch(message.connection.service)

    def handle_statement_ended(self, message: StatementEnded) -> None:
        """Process the reply of an upstream and dispatch queued requests."""
        self._reply_handler.handle_reply(message)
        self._dispatcher.dispatch(message.connection.service)

    def handle_ledger_answer(self, message: LedgerAnswered) -> None:
        """Process the result of a ledger query."""
        self._reply_handler.outcome_resolver.apply_ledger_answer(message)

    def recheck_service(self, service: str) -> None:
        """Decide again on the held replies and queued requests of a service.

        Called on every tick, and when the state of its group or its slots may have changed.
        """
        self._reply_handler.recheck_held(service)
        self._dispatcher.dispatch(service)

    # Time.

    def tick(self) -> None:
        """Apply everything that depends on time.

        Abandons statements that are overdue or whose instance is unreachable or no longer primary,
        ends requests past their deadline, repeats ledger queries, and rolls back idle transactions.
        """
        self._abandon_stale_statements()
        for pending in self._request_table.pop_due(self._proxy_state.now):
            self._handle_due_check(pending)
        self._reply_handler.outcome_resolver.tick()
        for transaction in self._connection_manager.idle_transactions():
            if transaction.connection not in self._request_table.running:
                self._reply_handler.abandon_connection(transaction.connection)
        for service in self._proxy_state.configuration.service_names():
            self.recheck_service(service)

    def _abandon_stale_statements(self) -> None:
        for connection, number in list(self._request_table.running.items()):
            pending = self._request_table.requests[number]
            stage = pending.stage
            assert isinstance(stage, Running)
            view = self._proxy_state.group_views[connection.service]
            primary = view.primary()
            replaced = primary is not None and stage.term and primary.term > stage.term
            reachable = view.is_reachable(connection.instance, self._proxy_state.now)
            if replaced or not reachable or self._is_overdue(pending, stage):
                self._reply_handler.abandon_connection(connection)

    def _is_overdue(self, pending: PendingRequest, stage: Running) -> bool:
        """Return whether to abandon a statement while there is time for another attempt."""
        if pending.request.operation is not Operation.RUN:
            return False
        attempt_limit_s = (pending.request.deadline - stage.sent_at) / 2
        return (
            attempt_limit_s >= MIN_ATTEMPT_S
            and self._proxy_state.now - stage.sent_at >= attempt_limit_s
        )

    def _handle_due_check(self, pending: PendingRequest) -> None:
        if pending.request.deadline <= self._proxy_state.now:
            self._expire(pending)
        elif pending.ambiguous and isinstance(pending.stage, Queued):
            self._request_table.dequeue(pending)
            self._reply_handler.outcome_resolver.resolve(pending)

    def _expire(self, pending: PendingRequest) -> None:
        stage = pending.stage
        reason, step = self._deadline_reason(pending)
        if not isinstance(stage, Queued):
            pending = replace(pending, ambiguous=True)
        if isinstance(stage, Running):
            self._request_table.save(pending)
            self._reply_handler.abandon_statement(stage.connection)
        self._reply_handler.completion.refuse(
            pending, reason, Mechanism.DEADLINE, step, "the deadline passed"
        )

    def _deadline_reason(self, pending: PendingRequest) -> tuple[RefusalReason, str]:
        match pending.stage:
            case Queued():
                primary = self._proxy_state.group_views[pending.request.service].primary()
                if primary is None:
                    return RefusalReason.NO_PRIMARY, "wait for a primary"
                return RefusalReason.DEADLINE, "wait in queue"
            case Running():
                return RefusalReason.DEADLINE, "run statement"
            case ReplyHeld():
                return RefusalReason.DEADLINE, "wait for a majority"
            case Resolving():
                return RefusalReason.DEADLINE, "resolve outcome"

    # Redirection and disconnects.

    def redirect_callers(self, headless: tuple[str, ...]) -> None:
        """Redirect the callers of services that only other proxies can serve.

        Requests that wait for the primary are refused, and replies ask the callers to reconnect.
        `headless` names the services for which this proxy reaches no primary or has no slots.
        """
        proxy_state = self._proxy_state
        self._headless_since = {
            service: self._headless_since.get(service, proxy_state.now)
            for service in headless
            if proxy_state.membership.is_served_elsewhere(service, proxy_state.now)
        }
        redirected = {
            service
            for service, started_at in self._headless_since.items()
            if proxy_state.now - started_at >= REDIRECT_DELAY_S
        }
        self._reply_handler.completion.redirected_services = redirected
        if redirected:
            for pending in list(self._request_table.requests.values()):
                if pending.request.service in redirected:
                    self._redirect_pending(pending)

    def _redirect_pending(self, pending: PendingRequest) -> None:
        match pending.stage:
            case Running():
                return
            case Queued() if (
                choose_queue(pending.request, pending.primary_only) is QueueName.REPLICA
            ):
                return
            case ReplyHeld():
                pending = replace(pending, ambiguous=True)
        self._reply_handler.completion.refuse(
            pending,
            RefusalReason.NO_PRIMARY,
            Mechanism.ROUTING,
            "wait for a primary",
            "another proxy reaches the primary and this one does not",
        )

    def handle_caller_disconnected(self, caller: int) -> None:
        """Drop the queued requests of a caller and roll back its transactions."""
        for pending in list(self._request_table.requests.values()):
            if pending.caller == caller and isinstance(pending.stage, Queued):
                self._request_table.remove(pending)
        for key, transaction in list(self._connection_manager.transactions.items()):
            if key.caller == caller:
                self._reply_handler.abandon_connection(transaction.connection)


def _refuse_id_in_use(request: Request) -> Refusal:
    return Refusal(
        RefusalReason.ID_IN_USE,
        Program(Mechanism.VALIDATION),
        DidRun.UNKNOWN,
        "admit",
        retry_after=0.1,
        detail=f"request {request.id} is in progress on this proxy",
    )
