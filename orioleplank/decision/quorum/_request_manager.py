"""Takes requests from arrival to reply."""

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

HAND_ON_AFTER_S = 0.6
RESOLVE_MARGIN_S = 0.5
LEAST_ATTEMPT_S = 0.5

_UNKNOWN = frozenset(
    {RefusalReason.UNKNOWN_SERVICE, RefusalReason.UNKNOWN_KIND, RefusalReason.NOT_CONFIGURED}
)


class RequestManager:
    """All requests in progress on one proxy."""

    def __init__(self, node: ProxyState, allotments: SlotManager) -> None:
        self._node = node
        self._table = RequestTable()
        self._connections = ConnectionManager(node)
        self._replies = ReplyHandler(node, self._table, self._connections)
        self._dispatcher = Dispatcher(
            node, self._table, self._connections, self._replies, allotments
        )
        self._headless_since: dict[str, float] = {}

    @property
    def is_busy(self) -> bool:
        """True while a request or a transaction is in progress."""
        return bool(self._table.pending or self._connections.transactions)

    @property
    def is_redirecting(self) -> bool:
        """True while callers of some service are better served by another proxy."""
        return bool(self._replies.completion.redirected_services)

    def queue_length(self, service: str) -> int:
        """Return how many requests wait for an instance of `service`."""
        return len(self._table.queues[service])

    def ask_callers_to_reconnect(self) -> None:
        """Ask callers to move with every reply from now on."""
        self._replies.completion.should_reconnect = True

    # Arrival.

    def handle_request(self, message: RequestArrived, admits: bool) -> None:
        """Admit a request or refuse it."""
        request = message.request
        refusal = self._find_refusal(message, admits)
        if refusal is None and request.id in self._table.numbers_by_request_id:
            refusal = _id_in_use(request)
        if refusal is not None and refusal.reason is RefusalReason.OVERLOADED:
            refusal = None if self._evict_lighter(request) else refusal
        if refusal is not None:
            move = self._replies.completion.should_reconnect
            known = refusal.reason not in _UNKNOWN
            self._node.emit(Reply(message.caller, request, refusal, move, 0.0, 0, known))
            return
        self._start(message)

    def _find_refusal(self, message: RequestArrived, admits: bool) -> Refusal | None:
        request, key = message.request, TransactionKey(message.caller, message.request.transaction)
        continues = key in self._connections.transactions
        queued, wait = self._foresee(request)
        return check_admission(request, self._node, queued, wait, admits or continues, continues)

    def _foresee(self, request: Request) -> tuple[int, float]:
        """Return how many requests of the service wait, and how long this one would."""
        spec = self._node.configuration.service(request.service)
        kind = spec.kind(request.kind) if spec is not None else None
        if kind is None:
            return 0, 0.0
        lanes, lane = self._table.queues[request.service], choose_queue(request)
        return len(lanes), lanes.estimate_wait(
            lane, lanes.count_ahead(lane, kind.weight), self._node.now
        )

    def _evict_lighter(self, request: Request) -> bool:
        """Refuse the lightest request that waits, when it weighs less than `request`."""
        lanes = self._table.queues[request.service]
        kind = self._node.service_spec(request.service).kind(request.kind)
        number = lanes.last_number(choose_queue(request))
        if number is None or kind is None:
            return False
        exchange = self._table.pending[number]
        if exchange.weight >= kind.weight or exchange.attempts or exchange.ambiguous:
            return False
        self._replies.completion.refuse(
            exchange,
            RefusalReason.OVERLOADED,
            Mechanism.ADMISSION,
            "wait in queue",
            "heavier requests came and the queue is full",
            retry_after=1.0,
        )
        return True

    def _start(self, message: RequestArrived) -> None:
        node, table, request = self._node, self._table, message.request
        preset, _ = node.configuration.preset_in_force()
        self._replies.completion.deposit_retry(request.service, preset.retry_share)
        kind = node.service_spec(request.service).kind(request.kind)
        exchange = PendingRequest(
            table.next_number(),
            message.caller,
            request,
            node.now,
            kind.weight if kind else 1,
            ambiguous=request.may_have_run,
        )
        table.numbers_by_request_id[request.id] = exchange.number
        table.schedule_check(request.deadline, exchange)
        if request.ledger_id:
            margin = min(RESOLVE_MARGIN_S, (request.deadline - node.now) / 3)
            table.schedule_check(request.deadline - margin, exchange)
        if request.operation is Operation.OUTCOME:
            self._replies.outcome_resolver.resolve(exchange)
            return
        table.enqueue(exchange)
        self._dispatcher.dispatch(request.service)

    # News from upstreams.

    def handle_connection_opened(self, message: ConnectionOpened) -> None:
        """Take a new connection into its pool."""
        if self._connections.add_opened(message):
            self._dispatcher.dispatch(message.connection.service)

    def handle_connection_closed(self, message: ConnectionClosed) -> None:
        """Forget a connection; what ran on it is retried, resolved or rolled back."""
        if self._connections.remove(message.connection):
            self._replies.handle_lost_connection(message.connection)
            self._dispatcher.dispatch(message.connection.service)

    def handle_statement_ended(self, message: StatementEnded) -> None:
        """Take an upstream's reply."""
        self._replies.handle_reply(message)
        self._dispatcher.dispatch(message.connection.service)

    def handle_ledger_answer(self, message: LedgerAnswered) -> None:
        """Take what the ledger holds."""
        self._replies.outcome_resolver.apply_ledger_answer(message)

    def recheck_service(self, service: str) -> None:
        """Look again at what waits for news of a group."""
        self._replies.recheck_held(service)
        self._dispatcher.dispatch(service)

    # Time.

    def tick(self) -> None:
        """End what is past its deadline and leave instances that are gone."""
        self._leave_lost_instances()
        for exchange in self._table.pop_due(self._node.now):
            self._pass_deadline(exchange)
        self._replies.outcome_resolver.tick()
        for transaction in self._connections.idle_transactions():
            if transaction.connection not in self._table.running:
                self._replies.abandon_connection(transaction.connection)
        for service in self._node.configuration.service_names():
            self.recheck_service(service)

    def _leave_lost_instances(self) -> None:
        for connection, number in list(self._table.running.items()):
            exchange = self._table.pending[number]
            stage = exchange.stage
            assert isinstance(stage, Running)
            view = self._node.group_views[connection.service]
            primary = view.primary()
            replaced = primary is not None and stage.term and primary.term > stage.term
            reachable = view.is_reachable(connection.instance, self._node.now)
            if replaced or not reachable or self._is_overdue(exchange, stage):
                self._replies.abandon_connection(connection)

    def _is_overdue(self, exchange: PendingRequest, stage: Running) -> bool:
        """Tell whether a reply is so late that another copy should be sent in what time is left."""
        if exchange.request.operation is not Operation.RUN:
            return False
        half = (exchange.request.deadline - stage.sent_at) / 2
        return half >= LEAST_ATTEMPT_S and self._node.now - stage.sent_at >= half

    def _pass_deadline(self, exchange: PendingRequest) -> None:
        if exchange.request.deadline <= self._node.now:
            self._expire(exchange)
        elif exchange.ambiguous and isinstance(exchange.stage, Queued):
            self._table.dequeue(exchange)
            self._replies.outcome_resolver.resolve(exchange)

    def _expire(self, exchange: PendingRequest) -> None:
        stage = exchange.stage
        reason, step = self._explain_delay(exchange)
        if not isinstance(stage, Queued):
            exchange = replace(exchange, ambiguous=True)
        if isinstance(stage, Running):
            self._table.save(exchange)
            self._replies.abandon_statement(stage.connection)
        self._replies.completion.refuse(
            exchange, reason, Mechanism.DEADLINE, step, "the deadline passed"
        )

    def _explain_delay(self, exchange: PendingRequest) -> tuple[RefusalReason, str]:
        match exchange.stage:
            case Queued():
                primary = self._node.group_views[exchange.request.service].primary()
                if primary is None:
                    return RefusalReason.NO_PRIMARY, "wait for a primary"
                return RefusalReason.DEADLINE, "wait in queue"
            case Running():
                return RefusalReason.DEADLINE, "run statement"
            case ReplyHeld():
                return RefusalReason.DEADLINE, "wait for a majority"
            case Resolving():
                return RefusalReason.DEADLINE, "resolve outcome"

    # Handing on.

    def redirect_callers(self, headless: tuple[str, ...]) -> None:
        """Refuse what waits for a primary that only other proxies reach, so that callers move."""
        node = self._node
        self._headless_since = {
            service: self._headless_since.get(service, node.now)
            for service in headless
            if node.membership.is_served_elsewhere(service, node.now)
        }
        handed_on = {
            service
            for service, since in self._headless_since.items()
            if node.now - since >= HAND_ON_AFTER_S
        }
        self._replies.completion.redirected_services = handed_on
        if handed_on:
            for exchange in list(self._table.pending.values()):
                if exchange.request.service in handed_on:
                    self._hand_on_exchange(exchange)

    def _hand_on_exchange(self, exchange: PendingRequest) -> None:
        match exchange.stage:
            case Running():
                return
            case Queued() if (
                choose_queue(exchange.request, exchange.primary_only) is QueueName.REPLICA
            ):
                return
            case ReplyHeld():
                exchange = replace(exchange, ambiguous=True)
        self._replies.completion.refuse(
            exchange,
            RefusalReason.NO_PRIMARY,
            Mechanism.ROUTING,
            "wait for a primary",
            "another proxy reaches the primary and this one does not",
        )

    def handle_caller_disconnected(self, caller: int) -> None:
        """Forget a caller: what waits is dropped, its transactions are rolled back."""
        for exchange in list(self._table.pending.values()):
            if exchange.caller == caller and isinstance(exchange.stage, Queued):
                self._table.remove(exchange)
        for key, transaction in list(self._connections.transactions.items()):
            if key.caller == caller:
                self._replies.abandon_connection(transaction.connection)


def _id_in_use(request: Request) -> Refusal:
    return Refusal(
        RefusalReason.ID_IN_USE,
        Program(Mechanism.VALIDATION),
        DidRun.UNKNOWN,
        "admit",
        retry_after=0.1,
        detail=f"request {request.id} is in progress on this proxy",
    )
