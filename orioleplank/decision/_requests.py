"""Takes requests from arrival to reply."""

from __future__ import annotations

from bisect import insort
from collections import defaultdict
from dataclasses import replace
from heapq import heappop, heappush

from orioleplank.decision._admission import admit
from orioleplank.decision._allotments import Allotments
from orioleplank.decision._effect import (
    AskLedger,
    Boundary,
    CloseConnection,
    Event,
    OpenConnection,
    Reply,
    SendStatement,
)
from orioleplank.decision._exchange import Exchange, Holding, Queued, Resolving, Running
from orioleplank.decision._mechanism import Switch
from orioleplank.decision._message import (
    ConnectionClosed,
    ConnectionId,
    ConnectionOpened,
    LedgerAnswered,
    LedgerState,
    RequestArrived,
    StatementEnded,
    StatementStatus,
)
from orioleplank.decision._node import InstanceKey, Node
from orioleplank.decision._refusal import DidRun, Mechanism, Program, Reason, Refusal
from orioleplank.decision._request import TRANSACTIONAL, Operation, Outcome, Request
from orioleplank.decision._retry import RetryBudget
from orioleplank.decision._routing import (
    NotYet,
    PositionLost,
    ToPrimary,
    ToReplica,
    choose_target,
    may_use_replica,
)
from orioleplank.decision._transaction import (
    Fate,
    Transaction,
    TransactionKey,
    begin_transaction,
)
from orioleplank.decision._verdict import (
    Hold,
    Refuse,
    Release,
    Resolve,
    TryAgain,
    Verdict,
    judge_ended,
    judge_held,
)

SCAN_LIMIT = 64
ROOMLESS_LIMIT = 8
HAND_ON_AFTER_S = 0.6
RESOLVE_MARGIN_S = 0.5
RESOLVE_RETRY_S = 0.05
LEDGER_WAIT_S = 0.5
RETRY_AFTER_S = 0.1
LEAST_ATTEMPT_S = 0.5
BACKOFF_S = 0.002
BACKOFF_LIMIT_S = 0.1
TRANSACTION_IDLE_S = 30.0
SERVICE_TIME_SMOOTHING = 0.05

_BOUNDARIES = {
    Operation.RUN: Boundary.AUTO,
    Operation.BEGIN: Boundary.BEGIN,
    Operation.STEP: Boundary.STEP,
    Operation.COMMIT: Boundary.COMMIT,
    Operation.ROLLBACK: Boundary.ROLLBACK,
}


class Requests:
    """All requests in progress on one proxy."""

    def __init__(self, node: Node, allotments: Allotments) -> None:
        self._node = node
        self._allotments = allotments
        self._numbers = 0
        self._queries = 0
        self._statements = 0
        self._exchanges: dict[int, Exchange] = {}
        self._in_progress: dict[str, int] = {}
        self._queues: defaultdict[str, list[tuple[int, int]]] = defaultdict(list)
        self._holding: defaultdict[str, set[int]] = defaultdict(set)
        self._resolving: set[int] = set()
        self._running: dict[ConnectionId, int] = {}
        self._transactions: dict[TransactionKey, Transaction] = {}
        self._owned: dict[ConnectionId, TransactionKey] = {}
        self._deadlines: list[tuple[float, int]] = []
        self._budgets: dict[str, RetryBudget] = {}
        self._service_times: dict[str, float] = {}
        self._headless_since: dict[str, float] = {}
        self._handed_on: set[str] = set()
        self.move = False

    @property
    def busy(self) -> bool:
        """True while a request or a transaction is in progress."""
        return bool(self._exchanges or self._transactions)

    def queue_length(self, service: str) -> int:
        """Return how many requests wait for an instance of `service`."""
        return len(self._queues[service])

    # Arrival.

    def arrive(self, message: RequestArrived, admits: bool) -> None:
        """Admit a request or refuse it."""
        node, request = self._node, message.request
        service_time = self._service_times.get(request.service, 0.0)
        continues = TransactionKey(message.caller, request.transaction) in self._transactions
        refusal = admit(
            request,
            node,
            queued=len(self._queues[request.service]) if request.service in node.views else 0,
            service_time=service_time,
            admits=admits or continues,
            continues=continues,
        )
        if refusal is None and request.id in self._in_progress:
            refusal = _id_in_use(request)
        if refusal is not None and refusal.reason is Reason.OVERLOADED:
            refusal = None if self._evict_lighter(request) else refusal
        if refusal is not None:
            self._reply_unadmitted(message, refusal)
            return
        self._start(message)

    def _reply_unadmitted(self, message: RequestArrived, refusal: Refusal) -> None:
        request = message.request
        self._node.emit(Reply(message.caller, request, refusal, self.move, 0.0, 0))

    def _evict_lighter(self, request: Request) -> bool:
        """Refuse the lightest request that waits, when it weighs less than `request`."""
        queue = self._queues[request.service]
        kind = self._node.spec(request.service).kind(request.kind)
        if not queue or kind is None:
            return False
        exchange = self._exchanges[queue[-1][1]]
        if exchange.weight >= kind.weight or exchange.attempts or exchange.ambiguous:
            return False
        self._finish(
            exchange,
            Refusal(
                Reason.OVERLOADED,
                Program(Mechanism.ADMISSION),
                DidRun.NO,
                "wait in queue",
                retry_after=1.0,
                detail="heavier requests came and the queue is full",
            ),
        )
        return True

    def _start(self, message: RequestArrived) -> None:
        node, request = self._node, message.request
        preset, _ = node.configuration.in_force()
        budget = self._budgets.get(request.service) or RetryBudget()
        self._budgets[request.service] = budget.earn(preset.retry_share)
        kind = node.spec(request.service).kind(request.kind)
        self._numbers += 1
        exchange = Exchange(
            self._numbers,
            message.caller,
            request,
            node.now,
            kind.weight if kind else 1,
            ambiguous=request.may_have_run,
        )
        self._in_progress[request.id] = exchange.number
        heappush(self._deadlines, (request.deadline, exchange.number))
        if request.ledger_id:
            margin = min(RESOLVE_MARGIN_S, (request.deadline - node.now) / 3)
            heappush(self._deadlines, (request.deadline - margin, exchange.number))
        if request.operation is Operation.OUTCOME:
            self._resolve(exchange)
            return
        self._enqueue(exchange)
        self.dispatch(request.service)

    def _enqueue(self, exchange: Exchange, not_before: float = 0.0) -> None:
        queued = replace(exchange, stage=Queued(not_before))
        self._exchanges[exchange.number] = queued
        insort(self._queues[exchange.request.service], (-exchange.weight, exchange.number))

    def _dequeue(self, exchange: Exchange) -> None:
        self._queues[exchange.request.service].remove((-exchange.weight, exchange.number))

    # Sending.

    def dispatch(self, service: str) -> None:
        """Send what can be sent of the requests that wait."""
        self._allotments.pay_owed(service)
        queue = self._queues[service]
        if not queue:
            return
        around = self._node.surroundings(service)
        roomless = 0
        demand: defaultdict[str, int] = defaultdict(int)
        for _, number in queue[:SCAN_LIMIT]:
            exchange = self._exchanges.get(number)
            if roomless >= ROOMLESS_LIMIT:
                break
            if exchange is None or not isinstance(exchange.stage, Queued):
                continue
            if exchange.stage.not_before > self._node.now:
                continue
            if exchange.request.operation in TRANSACTIONAL - {Operation.BEGIN}:
                self._send_step(exchange)
                continue
            target = choose_target(
                exchange.request, around, exchange.primary_only, self._node.random
            )
            match target:
                case ToPrimary(instance, term):
                    sent = self._send(exchange, instance, term, False)
                case ToReplica(instance):
                    sent = self._send(exchange, instance, 0, True)
                case PositionLost(position):
                    self._refuse_lost(exchange, str(position))
                    continue
                case NotYet():
                    roomless += 1
                    continue
            if not sent:
                roomless += 1
                demand[instance] += 1
        for instance, wanted in demand.items():
            self._open_connections(service, instance, wanted)

    def _refuse_lost(self, exchange: Exchange, position: str) -> None:
        self._refuse(
            exchange,
            Reason.POSITION_LOST,
            Mechanism.SESSION,
            "choose instance",
            f"the session has seen {position}, which did not survive a promotion",
        )

    def _send(self, exchange: Exchange, instance: str, term: int, by_replica: bool) -> bool:
        request = exchange.request
        pool = self._node.pools[request.service][instance]
        if not pool.has_slot:
            self._node.starved.add(InstanceKey(request.service, instance))
        if not pool.has_slot or not pool.idle:
            return False
        pool, number = pool.take()
        self._node.pools[request.service][instance] = pool
        connection = ConnectionId(request.service, instance, number)
        if request.operation is Operation.BEGIN:
            self._own(exchange, connection, term)
        self._dequeue(exchange)
        self._send_on(exchange, connection, term, by_replica)
        self._open_connections(request.service, instance, 0)
        return True

    def _own(self, exchange: Exchange, connection: ConnectionId, term: int) -> None:
        key = TransactionKey(exchange.caller, exchange.request.transaction)
        self._transactions[key] = begin_transaction(key, connection, term, self._node.now)
        self._owned[connection] = key

    def _send_on(
        self, exchange: Exchange, connection: ConnectionId, term: int, by_replica: bool
    ) -> None:
        node, request = self._node, exchange.request
        self._statements += 1
        pool = node.pools[request.service][connection.instance]
        node.pools[request.service][connection.instance] = pool.start()
        stage = Running(connection, self._statements, term, by_replica, node.now)
        self._exchanges[exchange.number] = replace(
            exchange, stage=stage, attempts=exchange.attempts + 1
        )
        self._running[connection] = exchange.number
        ledger_id = request.ledger_id if node.mechanisms.on(Switch.LEDGER) else ""
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

    def _send_step(self, exchange: Exchange) -> None:
        request = exchange.request
        transaction = self._transactions.get(TransactionKey(exchange.caller, request.transaction))
        if transaction is None:
            self._refuse_unknown_transaction(exchange)
            return
        connection = transaction.connection
        busy = connection in self._running
        pool = self._node.pools[request.service][connection.instance]
        if not busy and not pool.has_slot:
            self._node.starved.add(InstanceKey(request.service, connection.instance))
        if busy or not pool.has_slot or not transaction.lifecycle.accepts_steps():
            return
        if request.operation is Operation.COMMIT:
            transaction.lifecycle.begin_commit()
        used = replace(transaction, used_at=self._node.now)
        self._transactions[transaction.key] = used
        self._dequeue(exchange)
        self._send_on(exchange, connection, transaction.term, False)

    def _refuse_unknown_transaction(self, exchange: Exchange) -> None:
        if exchange.request.operation is Operation.COMMIT:
            self._dequeue(exchange)
            self._resolve(exchange)
            return
        self._refuse(
            exchange,
            Reason.UNKNOWN_TRANSACTION,
            Mechanism.TRANSACTION,
            "find transaction",
            "the transaction is not open on this proxy; what was not committed is rolled back",
        )

    def _open_connections(self, service: str, instance: str, demand: int) -> None:
        node = self._node
        pool = node.pools[service][instance]
        spec = node.spec(service).instance(instance)
        if spec is None:
            return
        for _ in range(pool.wants(demand, node.now)):
            pool, number = pool.open()
            node.emit(OpenConnection(ConnectionId(service, instance, number), spec.address))
        node.pools[service][instance] = pool

    # Connections.

    def open_connection(self, message: ConnectionOpened) -> None:
        """Take a new connection into its pool."""
        service, instance = message.connection.service, message.connection.instance
        pool = self._node.pools.get(service, {}).get(instance)
        if pool is None or message.connection.number not in pool.opening:
            self._node.emit(CloseConnection(message.connection))
            return
        self._node.pools[service][instance] = pool.opened(message.connection.number)
        self.dispatch(service)

    def close_connection(self, message: ConnectionClosed) -> None:
        """Forget a connection; what ran on it is retried, resolved or rolled back."""
        connection = message.connection
        pool = self._node.pools.get(connection.service, {}).get(connection.instance)
        if pool is None or not pool.knows(connection.number):
            return
        pools = self._node.pools[connection.service]
        pools[connection.instance] = pool.drop(connection.number, self._node.now)
        self._lose(connection)
        self.dispatch(connection.service)

    def _abandon(self, connection: ConnectionId) -> None:
        """Close a connection that is in doubt."""
        pools = self._node.pools[connection.service]
        if not self._node.mechanisms.on(Switch.CLOSE_ON_DOUBT):
            pools[connection.instance] = pools[connection.instance].free(connection.number)
            self._lose(connection)
            return
        pools[connection.instance] = pools[connection.instance].drop(
            connection.number, self._node.now
        )
        self._node.emit(CloseConnection(connection))
        self._lose(connection)

    def _lose(self, connection: ConnectionId) -> None:
        fate = self._end_transaction(connection)
        number = self._running.pop(connection, None)
        if number is None:
            return
        self._doubt_running(connection)
        exchange = self._exchanges[number]
        self._node.note(Event.CONNECTION_LOST, "run statement", connection.instance)
        if fate is None:
            self._retry(replace(exchange, ambiguous=True), "its connection was lost")
        elif fate is Fate.AMBIGUOUS:
            self._resolve(replace(exchange, ambiguous=True))
        else:
            self._refuse_aborted(exchange, connection.instance)

    def _refuse_aborted(self, exchange: Exchange, peer: str) -> None:
        self._refuse(
            exchange,
            Reason.TRANSACTION_ABORTED,
            Mechanism.TRANSACTION,
            "run statement",
            "the transaction lost its connection and was rolled back",
            peer,
        )

    def _end_transaction(self, connection: ConnectionId) -> Fate | None:
        key = self._owned.pop(connection, None)
        if key is None:
            return None
        transaction = self._transactions.pop(key)
        self._node.note(Event.TRANSACTION_ABORTED, "end transaction", connection.instance)
        return transaction.lifecycle.lose()

    def _doubt_running(self, connection: ConnectionId) -> None:
        pools = self._node.pools[connection.service]
        pools[connection.instance] = pools[connection.instance].doubt(self._node.now)

    def _end_running(self, connection: ConnectionId) -> None:
        pools = self._node.pools[connection.service]
        pools[connection.instance] = pools[connection.instance].end()

    # Replies.

    def end_statement(self, message: StatementEnded) -> None:
        """Take an upstream's reply."""
        connection = message.connection
        number = self._running.get(connection)
        exchange = self._exchanges.get(number) if number is not None else None
        if exchange is None or not self._matches(exchange, message):
            self._node.note(Event.LATE_REPLY_DROPPED, "take reply", connection.instance)
            return
        del self._running[connection]
        self._end_running(connection)
        stage = exchange.stage
        assert isinstance(stage, Running)
        self._settle_connection(exchange, message)
        self._learn_service_time(exchange.request.service, stage)
        verdict = judge_ended(exchange, message, self._node.views[connection.service])
        if isinstance(verdict, Hold):
            self._hold(exchange, stage, message)
        else:
            self._follow(exchange, verdict)
        self.dispatch(connection.service)

    def _matches(self, exchange: Exchange, message: StatementEnded) -> bool:
        if not self._node.mechanisms.on(Switch.MATCHING):
            return True
        return isinstance(exchange.stage, Running) and exchange.stage.statement == message.statement

    def _learn_service_time(self, service: str, stage: Running) -> None:
        taken = self._node.now - stage.sent_at
        known = self._service_times.get(service, taken)
        self._service_times[service] = known + SERVICE_TIME_SMOOTHING * (taken - known)

    def _settle_connection(self, exchange: Exchange, message: StatementEnded) -> None:
        """Give the connection back, or keep it for its transaction."""
        connection, operation = message.connection, exchange.request.operation
        key = self._owned.get(connection)
        if key is None:
            self._free(connection)
            return
        transaction = self._transactions[key]
        done = message.status in (StatementStatus.DONE, StatementStatus.REPEATED)
        if operation is Operation.BEGIN and done:
            transaction.lifecycle.open()
        elif operation in (Operation.COMMIT, Operation.ROLLBACK) and done:
            self._forget_transaction(connection)
            self._free(connection)
        elif message.status is StatementStatus.NO_SLOT and operation is Operation.COMMIT:
            transaction.lifecycle.retract_commit()
        elif message.status is not StatementStatus.NO_SLOT and not done:
            self._forget_transaction(connection)
            self._abandon(connection)

    def _forget_transaction(self, connection: ConnectionId) -> None:
        del self._transactions[self._owned.pop(connection)]

    def _free(self, connection: ConnectionId) -> None:
        pools = self._node.pools[connection.service]
        pools[connection.instance] = pools[connection.instance].free(connection.number)

    def _hold(self, exchange: Exchange, stage: Running, message: StatementEnded) -> None:
        holding = Holding(
            message.position,
            message.result,
            message.connection.instance,
            stage.term,
            stage.by_replica,
            message.status is StatementStatus.REPEATED,
            message.status is StatementStatus.TOMBSTONED,
        )
        self._keep(replace(exchange, stage=holding))

    def _keep(self, exchange: Exchange) -> None:
        """Hold a reply, and release it at once when it may be."""
        assert isinstance(exchange.stage, Holding)
        service = exchange.request.service
        self._exchanges[exchange.number] = exchange
        self._holding[service].add(exchange.number)
        self._judge(exchange)

    def _judge(self, exchange: Exchange) -> None:
        assert isinstance(exchange.stage, Holding)
        service = exchange.request.service
        view = self._node.views[service]
        verdict = judge_held(exchange, exchange.stage, view, self._node.now)
        if isinstance(verdict, Hold):
            if verdict.needs_round:
                self._node.wanted_rounds.add(service)
            return
        self._holding[service].discard(exchange.number)
        self._follow(exchange, verdict)

    def _follow(self, exchange: Exchange, verdict: Verdict) -> None:
        match verdict:
            case Release(answer):
                self._finish(exchange, answer)
            case Refuse(refusal):
                self._finish(exchange, refusal)
            case Resolve():
                self._resolve(exchange)
            case TryAgain(why, primary_only):
                self._try_again(exchange, why, primary_only)
            case Hold():
                raise AssertionError("a held reply is judged by _judge")

    def _try_again(self, exchange: Exchange, why: str, primary_only: bool) -> None:
        ran = isinstance(exchange.stage, Holding) and not exchange.request.write
        again = replace(exchange, primary_only=primary_only, ambiguous=exchange.ambiguous or ran)
        if exchange.request.operation in TRANSACTIONAL:
            self._try_transaction_again(again)
            return
        self._retry(again, why)

    def _try_transaction_again(self, exchange: Exchange) -> None:
        """A step's reply cannot be shown; what it belongs to is over."""
        key = TransactionKey(exchange.caller, exchange.request.transaction)
        transaction = self._transactions.get(key)
        if transaction is not None and isinstance(exchange.stage, Running):
            self._retry(exchange, "the instance had no slot")
            return
        if transaction is not None:
            self._abandon(transaction.connection)
        if exchange.request.operation is Operation.BEGIN:
            self._retry(exchange, "the instance did not begin it")
        elif exchange.request.operation is Operation.COMMIT:
            self._resolve(exchange)
        else:
            self._refuse_aborted(exchange, "")

    def _retry(self, exchange: Exchange, why: str) -> None:
        service = exchange.request.service
        budget = self._budgets.get(service, RetryBudget()).spend()
        if budget is None and self._node.mechanisms.on(Switch.RETRY_BUDGET):
            self._refuse_retry(exchange)
            return
        self._budgets[service] = budget or RetryBudget(0.0)
        self._node.note(Event.REQUEST_RETRIED, "retry", exchange.request.id, why)
        backoff = min(BACKOFF_LIMIT_S, BACKOFF_S * 2 ** min(exchange.attempts, 10))
        pause = backoff * self._node.random.random()
        self._enqueue(exchange, self._node.now + pause)

    def _refuse_retry(self, exchange: Exchange) -> None:
        if exchange.ambiguous and exchange.request.ledger_id:
            self._resolve(exchange)
            return
        self._refuse(
            exchange,
            Reason.RETRY_BUDGET,
            Mechanism.RETRY,
            "retry",
            "the share of requests that may be retried is spent",
        )

    # Outcomes.

    def _resolve(self, exchange: Exchange) -> None:
        """Ask the primary's ledger what became of a request."""
        self._resolving.add(exchange.number)
        self._exchanges[exchange.number] = replace(exchange, stage=Resolving())
        self._ask_ledger(self._exchanges[exchange.number])

    def _ask_ledger(self, exchange: Exchange) -> None:
        node, request = self._node, exchange.request
        view = node.views[request.service]
        primary = view.primary()
        if primary is None or not view.is_reachable(primary.instance, node.now):
            self._wait_for_ledger(exchange)
            return
        self._queries += 1
        tombstone = node.mechanisms.on(Switch.TOMBSTONE)
        stage = Resolving(self._queries, primary.instance, primary.term, tombstone, node.now)
        self._exchanges[exchange.number] = replace(exchange, stage=stage)
        node.emit(
            AskLedger(
                request.service,
                primary.instance,
                self._queries,
                request.id,
                primary.term,
                tombstone,
            )
        )

    def _wait_for_ledger(self, exchange: Exchange) -> None:
        stage = Resolving(asked_at=self._node.now - LEDGER_WAIT_S + RESOLVE_RETRY_S)
        self._exchanges[exchange.number] = replace(exchange, stage=stage)

    def answer_ledger(self, message: LedgerAnswered) -> None:
        """Take what the ledger holds."""
        for number in self._resolving:
            exchange = self._exchanges[number]
            stage = exchange.stage
            if isinstance(stage, Resolving) and stage.query == message.query:
                self._take_outcome(exchange, stage, message)
                return

    def _take_outcome(self, exchange: Exchange, stage: Resolving, message: LedgerAnswered) -> None:
        if message.state in (LedgerState.STALE_TERM, LedgerState.UNREACHABLE):
            self._wait_for_ledger(exchange)
            return
        self._resolving.discard(exchange.number)
        self._node.note(
            Event.OUTCOME_RESOLVED, "resolve outcome", message.instance, message.state.value
        )
        found = message.state is LedgerState.FOUND
        holding = Holding(
            message.position,
            message.result,
            message.instance,
            stage.term,
            repeated=found,
            tombstoned=not found,
        )
        self._keep(replace(exchange, stage=holding))

    # Time and news.

    def take_news(self, service: str) -> None:
        """Look again at what waits for news of a group."""
        for number in sorted(self._holding[service]):
            self._judge(self._exchanges[number])
        self.dispatch(service)

    def pass_time(self) -> None:
        """End what is past its deadline and leave instances that are gone."""
        self._leave_lost_instances()
        while self._deadlines and self._deadlines[0][0] <= self._node.now:
            _, number = heappop(self._deadlines)
            exchange = self._exchanges.get(number)
            if exchange is not None:
                self._pass_deadline(exchange)
        for number in sorted(self._resolving):
            self._ask_again(self._exchanges[number])
        self._end_idle_transactions()
        for service in self._node.configuration.services():
            self.take_news(service)

    def _ask_again(self, exchange: Exchange) -> None:
        stage = exchange.stage
        assert isinstance(stage, Resolving)
        if self._node.now - stage.asked_at >= LEDGER_WAIT_S:
            self._ask_ledger(exchange)

    def _end_idle_transactions(self) -> None:
        for transaction in list(self._transactions.values()):
            idle = self._node.now - transaction.used_at >= TRANSACTION_IDLE_S
            if idle and transaction.connection not in self._running:
                self._abandon(transaction.connection)

    def _leave_lost_instances(self) -> None:
        for connection, number in list(self._running.items()):
            exchange = self._exchanges[number]
            stage = exchange.stage
            assert isinstance(stage, Running)
            view = self._node.views[connection.service]
            primary = view.primary()
            replaced = primary is not None and stage.term and primary.term > stage.term
            reachable = view.is_reachable(connection.instance, self._node.now)
            if replaced or not reachable or self._is_overdue(exchange, stage):
                self._abandon(connection)

    def _is_overdue(self, exchange: Exchange, stage: Running) -> bool:
        """Tell whether a reply is so late that another copy should be sent in what time is left."""
        if exchange.request.operation is not Operation.RUN:
            return False
        half = (exchange.request.deadline - stage.sent_at) / 2
        return half >= LEAST_ATTEMPT_S and self._node.now - stage.sent_at >= half

    def _pass_deadline(self, exchange: Exchange) -> None:
        if exchange.request.deadline > self._node.now:
            self._resolve_in_time(exchange)
            return
        self._expire(exchange)

    def _resolve_in_time(self, exchange: Exchange) -> None:
        """Stop retrying a write shortly before its deadline, and settle its outcome."""
        if exchange.ambiguous and isinstance(exchange.stage, Queued):
            self._dequeue(exchange)
            self._resolve(exchange)

    def _expire(self, exchange: Exchange) -> None:
        stage = exchange.stage
        if isinstance(stage, Running):
            exchange = replace(exchange, ambiguous=True)
            self._exchanges[exchange.number] = exchange
            self._drop_running(stage.connection)
        if isinstance(stage, (Holding, Resolving)):
            exchange = replace(exchange, ambiguous=True)
        reason, step = self._explain_delay(exchange)
        self._refuse(exchange, reason, Mechanism.DEADLINE, step, "the deadline passed")

    def _drop_running(self, connection: ConnectionId) -> None:
        """Close a connection whose statement nobody waits for any more."""
        del self._running[connection]
        self._doubt_running(connection)
        self._abandon(connection)

    def _explain_delay(self, exchange: Exchange) -> tuple[Reason, str]:
        match exchange.stage:
            case Queued():
                primary = self._node.views[exchange.request.service].primary()
                if primary is None:
                    return Reason.NO_PRIMARY, "wait for a primary"
                return Reason.DEADLINE, "wait in queue"
            case Running():
                return Reason.DEADLINE, "run statement"
            case Holding():
                return Reason.DEADLINE, "wait for a majority"
            case Resolving():
                return Reason.DEADLINE, "resolve outcome"

    @property
    def handed_on(self) -> bool:
        """True while callers of some service are better served by another proxy."""
        return bool(self._handed_on)

    def hand_on(self, headless: tuple[str, ...]) -> None:
        """Refuse what waits for a primary that only other proxies reach, so that callers move."""
        node = self._node
        self._headless_since = {
            service: self._headless_since.get(service, node.now)
            for service in headless
            if node.membership.is_served_elsewhere(service, node.now)
        }
        self._handed_on = {
            service
            for service, since in self._headless_since.items()
            if node.now - since >= HAND_ON_AFTER_S
        }
        for exchange in list(self._exchanges.values()):
            if exchange.request.service in self._handed_on:
                self._hand_on_exchange(exchange)

    def _hand_on_exchange(self, exchange: Exchange) -> None:
        match exchange.stage:
            case Running():
                return
            case Queued() if may_use_replica(exchange.request) and not exchange.primary_only:
                return
            case Holding():
                exchange = replace(exchange, ambiguous=True)
        self._refuse(
            exchange,
            Reason.NO_PRIMARY,
            Mechanism.ROUTING,
            "wait for a primary",
            "another proxy reaches the primary and this one does not",
        )

    # The end.

    def leave(self, caller: int) -> None:
        """Forget a caller: what waits is dropped, its transactions are rolled back."""
        for exchange in list(self._exchanges.values()):
            if exchange.caller == caller and isinstance(exchange.stage, Queued):
                self._remove(exchange)
        for key, transaction in list(self._transactions.items()):
            if key.caller == caller:
                self._abandon(transaction.connection)

    def _refuse(
        self,
        exchange: Exchange,
        reason: Reason,
        mechanism: Mechanism,
        step: str,
        detail: str,
        peer: str = "",
    ) -> None:
        did_run = DidRun.UNKNOWN if exchange.ambiguous else DidRun.NO
        waits = reason in (Reason.NO_PRIMARY, Reason.DEADLINE)
        retry_after = RETRY_AFTER_S if waits else 0.0
        refusal = Refusal(reason, Program(mechanism), did_run, step, peer, retry_after, detail)
        self._finish(exchange, refusal)

    def _finish(self, exchange: Exchange, outcome: Outcome) -> None:
        self._remove(exchange)
        node = self._node
        elapsed = node.now - exchange.arrived
        move = self.move or exchange.request.service in self._handed_on
        node.emit(
            Reply(exchange.caller, exchange.request, outcome, move, elapsed, exchange.attempts)
        )

    def _remove(self, exchange: Exchange) -> None:
        kept = self._exchanges.pop(exchange.number, None)
        if kept is None:
            return
        if isinstance(kept.stage, Queued):
            queue = self._queues[kept.request.service]
            key = (-kept.weight, kept.number)
            if key in queue:
                queue.remove(key)
        self._holding[kept.request.service].discard(kept.number)
        self._resolving.discard(kept.number)
        if self._in_progress.get(kept.request.id) == kept.number:
            del self._in_progress[kept.request.id]


def _id_in_use(request: Request) -> Refusal:
    return Refusal(
        Reason.ID_IN_USE,
        Program(Mechanism.VALIDATION),
        DidRun.UNKNOWN,
        "admit",
        retry_after=0.1,
        detail=f"request {request.id} is in progress on this proxy",
    )
