"""The requests in progress on one proxy, and where each of them stands."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from heapq import heappop, heappush

from orioleplank.decision.quorum._message import ConnectionId
from orioleplank.decision.quorum._pending_request import PendingRequest, Queued
from orioleplank.decision.quorum._request_queues import RequestQueues


class RequestTable:
    """All requests in progress."""

    def __init__(self) -> None:
        # Requests by number.
        self.pending: dict[int, PendingRequest] = {}
        # Numbers by request id.
        self.numbers_by_request_id: dict[str, int] = {}
        # Requests that wait, by service.
        self.queues: defaultdict[str, RequestQueues] = defaultdict(RequestQueues)
        # Numbers whose reply is held, by service.
        self.held_replies: defaultdict[str, set[int]] = defaultdict(set)
        # Numbers whose outcome is being resolved.
        self.resolving: set[int] = set()
        # Numbers by the connection their statement runs on.
        self.running: dict[ConnectionId, int] = {}
        self._deadlines: list[tuple[float, int]] = []
        self._numbers = 0

    def next_number(self) -> int:
        """Return a number that was not used before."""
        self._numbers += 1
        return self._numbers

    def save(self, exchange: PendingRequest) -> None:
        """Keep a request as it stands now."""
        self.pending[exchange.number] = exchange

    def enqueue(self, exchange: PendingRequest, not_before: float = 0.0) -> None:
        """Let a request wait for an instance."""
        queued = replace(exchange, stage=Queued(not_before))
        self.save(queued)
        self.queues[exchange.request.service].add(queued)

    def dequeue(self, exchange: PendingRequest) -> None:
        """Let a request wait no longer."""
        self.queues[exchange.request.service].remove(exchange)

    def schedule_check(self, at: float, exchange: PendingRequest) -> None:
        """Have a request returned by `pop_due` at a time."""
        heappush(self._deadlines, (at, exchange.number))

    def pop_due(self, now: float) -> list[PendingRequest]:
        """Return the requests whose time has come and that are still in progress."""
        found = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, number = heappop(self._deadlines)
            exchange = self.pending.get(number)
            if exchange is not None:
                found.append(exchange)
        return found

    def remove(self, exchange: PendingRequest) -> None:
        """Forget a request."""
        kept = self.pending.pop(exchange.number, None)
        if kept is None:
            return
        if isinstance(kept.stage, Queued):
            self.dequeue(kept)
        self.held_replies[kept.request.service].discard(kept.number)
        self.resolving.discard(kept.number)
        if self.numbers_by_request_id.get(kept.request.id) == kept.number:
            del self.numbers_by_request_id[kept.request.id]
