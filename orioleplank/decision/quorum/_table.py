"""The requests in progress on one proxy, and where each of them stands."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from heapq import heappop, heappush

from orioleplank.decision.quorum._exchange import Exchange, Queued
from orioleplank.decision.quorum._lanes import Lanes
from orioleplank.decision.quorum._message import ConnectionId


class Table:
    """All requests in progress."""

    def __init__(self) -> None:
        # Requests by number.
        self.exchanges: dict[int, Exchange] = {}
        # Numbers by request id.
        self.by_id: dict[str, int] = {}
        # Requests that wait, by service.
        self.lanes: defaultdict[str, Lanes] = defaultdict(Lanes)
        # Numbers whose reply is held, by service.
        self.holding: defaultdict[str, set[int]] = defaultdict(set)
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

    def put(self, exchange: Exchange) -> None:
        """Keep a request as it stands now."""
        self.exchanges[exchange.number] = exchange

    def enqueue(self, exchange: Exchange, not_before: float = 0.0) -> None:
        """Let a request wait for an instance."""
        queued = replace(exchange, stage=Queued(not_before))
        self.put(queued)
        self.lanes[exchange.request.service].add(queued)

    def dequeue(self, exchange: Exchange) -> None:
        """Let a request wait no longer."""
        self.lanes[exchange.request.service].remove(exchange)

    def remind(self, at: float, exchange: Exchange) -> None:
        """Have a request returned by `due` at a time."""
        heappush(self._deadlines, (at, exchange.number))

    def due(self, now: float) -> list[Exchange]:
        """Return the requests whose time has come and that are still in progress."""
        found = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, number = heappop(self._deadlines)
            exchange = self.exchanges.get(number)
            if exchange is not None:
                found.append(exchange)
        return found

    def remove(self, exchange: Exchange) -> None:
        """Forget a request."""
        kept = self.exchanges.pop(exchange.number, None)
        if kept is None:
            return
        if isinstance(kept.stage, Queued):
            self.dequeue(kept)
        self.holding[kept.request.service].discard(kept.number)
        self.resolving.discard(kept.number)
        if self.by_id.get(kept.request.id) == kept.number:
            del self.by_id[kept.request.id]
