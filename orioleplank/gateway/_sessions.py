"""Sessions of callers; each runs its requests one at a time, in order of arrival."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from msgspec.structs import replace
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from orioleplank.decision.session import FailureCode, Statement
from orioleplank.gateway._event_log import EventType
from orioleplank.gateway._interfaces import CallerLink
from orioleplank.gateway._operation_admission import SHUTDOWN_REASON
from orioleplank.gateway._outcome import refuse
from orioleplank.gateway._request_handler import RequestHandler, SessionDependencies
from orioleplank.gateway._request_replies import PendingRequest, ReplyBuilder

# Number of pending requests of one session from which on reading from its caller is paused.
MAX_PENDING_REQUESTS = 4


class SessionTask:
    """The session of one caller; implements `CallerSession`.

    Queues its requests, and sends their replies in order.
    """

    def __init__(
        self,
        number: int,
        link: CallerLink,
        database: str,
        key: str,
        dependencies: SessionDependencies,
        on_disconnected: Callable[[SessionTask], None],
        on_idle: Callable[[SessionTask], None],
    ) -> None:
        self.number = number
        self._link = link
        self._dependencies = dependencies
        # Called when the caller's connection has closed.
        self._on_disconnected = on_disconnected
        # Called when the session has answered all its pending requests.
        self._on_idle = on_idle
        self._replies = ReplyBuilder(
            number,
            database,
            dependencies.cluster_state,
            dependencies.event_log,
            dependencies.metrics,
        )
        self._handler = RequestHandler(number, database, key, dependencies, self._replies)
        self._pending_requests: deque[PendingRequest] = deque()
        # The request that is in progress.
        self._current_request: PendingRequest | None = None
        self._last_active_at = dependencies.cluster_state.now()
        self._is_running = False

    @property
    def should_pause_reading(self) -> bool:
        """True while `MAX_PENDING_REQUESTS` or more requests are pending."""
        return len(self._pending_requests) >= MAX_PENDING_REQUESTS

    @property
    def kept_bytes(self) -> int:
        """Bytes of the values and prepared statements of the session."""
        return self._handler.kept_bytes

    @property
    def is_idle(self) -> bool:
        """True when no transaction is open and no request is in progress."""
        return not self._is_running and not self._handler.has_open_transaction

    # Calls from the caller's connection and from the session table.

    def submit_request(self, request_id: str, statement: Statement) -> None:
        """Queue a request; its reply is sent on the session's link."""
        cluster_state = self._dependencies.cluster_state
        pending = PendingRequest(
            request_id, statement, cluster_state.lease_clock(), cluster_state.now()
        )
        self._pending_requests.append(pending)
        if not self._is_running:
            self._spawn(self._process_requests())

    def handle_disconnect(self) -> None:
        """Remove the session, end its request in progress and roll back its open transaction."""
        self._handler.has_ended = True
        self._pending_requests.clear()
        self._on_disconnected(self)
        self._handler.cancel()
        if not self._is_running:
            self._spawn(self._handler.roll_back_open_transaction())

    def close(self) -> None:
        """Close the connection to the caller."""
        self._link.close()

    def end(self) -> None:
        """Answer all unanswered requests at once, and close the connection to the caller.

        The one in progress may have run; the others have not.
        """
        current, self._handler.has_ended = self._current_request, True
        if current is not None:
            self._link.reply(
                self._replies.refuse(
                    current, refuse(FailureCode.IN_DOUBT, "shut down", SHUTDOWN_REASON)
                )
            )
        while self._pending_requests:
            refusal = refuse(FailureCode.BUSY, "shut down", SHUTDOWN_REASON)
            self._link.reply(self._replies.refuse(self._pending_requests.popleft(), refusal))
        self._link.close()

    def abort_transaction(self) -> None:
        """Roll back the transaction unless a request is in progress.

        The caller is informed in the reply to its next request.
        """
        if self._handler.has_open_transaction and not self._is_running:
            self._spawn(self._handler.roll_back_open_transaction())

    def idle_in_transaction_seconds(self, now: float) -> float:
        """Return for how many seconds the open transaction has been idle.

        0 without a transaction and while a request is in progress.
        """
        if not self._handler.has_open_transaction or self._is_running:
            return 0.0
        return now - self._last_active_at

    # Request processing.

    def _spawn(self, coroutine: Any) -> None:
        Deferred.fromCoroutine(coroutine).addErrback(self._handle_internal_error)

    def _handle_internal_error(self, failure: TwistedFailure) -> None:
        self._dependencies.event_log.log_event(
            EventType.ERROR, step="serve session", detail=str(failure)
        )
        self._is_running = False
        self._link.close()

    async def _process_requests(self) -> None:
        self._is_running = True
        while self._pending_requests:
            pending = self._current_request = self._pending_requests.popleft()
            reply = await self._handler.handle(pending)
            self._current_request = None
            self._last_active_at = self._dependencies.cluster_state.now()
            if self._handler.has_ended:
                break
            self._link.reply(replace(reply, state=self._handler.transaction_state))
            # The rows are not kept while the next request runs.
            del reply
            if not self.should_pause_reading:
                self._link.resume_reading()
        self._is_running = False
        if self._handler.has_ended:
            await self._handler.roll_back_open_transaction()
        else:
            self._on_idle(self)
