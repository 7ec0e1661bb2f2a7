"""Indexes of the requests in progress on one proxy."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from heapq import heappop, heappush

from orioleplank.decision.quorum._message import ConnectionId
from orioleplank.decision.quorum._pending_request import PendingRequest, Queued
from orioleplank.decision.quorum._request_queues import RequestQueues


class RequestTable:
    """All requests in progress, with indexes by id, stage and connection."""

    def __init__(self) -> None:
        self.requests: dict[int, PendingRequest] = {}
        self.numbers_by_request_id: dict[str, int] = {}
        # Queued requests, by service.
        self.queues: defaultdict[str, RequestQueues] = defaultdict(RequestQueues)
        # Numbers of the requests whose reply is held, by service.
        self.held_replies: defaultdict[str, set[int]] = defaultdict(set)
        # Numbers of the requests whose outcome is being resolved.
        self.resolving: set[int] = set()
        # Numbers of the requests whose statement is running, by connection.
        self.running: dict[ConnectionId, int] = {}
        self._due_checks: list[tuple[float, int]] = []
        self._last_number = 0

    def next_number(self) -> int:
        """Return an unused request number."""
        self._last_number += 1
        return self._last_number

    def save(self, pending: PendingRequest) -> None:
        """Store a request, replacing its previous state."""
        self.requests[pending.number] = pending

    def enqueue(self, pending: PendingRequest, not_before: float = 0.0) -> None:
        """Queue a request, to be sent no earlier than `not_before`."""
        queued = replace(pending, stage=Queued(not_before))
        self.save(queued)
        self.queues[pending.request.service].add(queued)

    def dequeue(self, pending: PendingRequest) -> None:
        """Remove a request from its queue."""
        self.queues[pending.request.service].remove(pending)

    def schedule_check(self, due_at: float, pending: PendingRequest) -> None:
        """Make `pop_due` return a request at the time `due_at`, in seconds."""
        heappush(self._due_checks, (due_at, pending.number))

    def pop_due(self, now: float) -> list[PendingRequest]:
        """Remove the checks that are due; return their requests that are still in progress."""
        due = []
        while self._due_checks and self._due_checks[0][0] <= now:
            _, number = heappop(self._due_checks)
            pending = self.requests.get(number)
            if pending is not None:
                due.append(pending)
        return due

    def remove(self, pending: PendingRequest) -> None:
        """Remove a request from the table and its indexes; do nothing if it has ended already."""
        removed = self.requests.pop(pending.number, None)
        if removed is None:
            return
        if isinstance(removed.stage, Queued):
            self.dequeue(removed)
        self.held_replies[removed.request.service].discard(removed.number)
        self.resolving.discard(removed.number)
        if self.numbers_by_request_id.get(removed.request.id) == removed.number:
            del self.numbers_by_request_id[removed.request.id]
