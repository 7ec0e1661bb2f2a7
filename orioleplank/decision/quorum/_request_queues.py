"""Requests that wait, in two lanes: those for the primary, and reads that a replica may serve.

A lane is in order of weight, then of arrival, so that under overload the heavy kinds suffer last.
Two lanes keep a busy primary from holding up reads of replicas, and the other way round.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterator
from enum import Enum, unique

from orioleplank.decision.quorum._pending_request import PendingRequest
from orioleplank.decision.quorum._request import Request
from orioleplank.decision.quorum._routing import may_use_replica
from orioleplank.decision.quorum._throughput import Throughput


@unique
class QueueName(Enum):
    """Which instances a lane waits for."""

    PRIMARY = "primary"
    REPLICA = "replica"


def choose_queue(request: Request, primary_only: bool = False) -> QueueName:
    """Return the lane a request waits in."""
    if may_use_replica(request) and not primary_only:
        return QueueName.REPLICA
    return QueueName.PRIMARY


class RequestQueues:
    """The requests of one service that wait."""

    def __init__(self) -> None:
        self._lanes: dict[QueueName, list[tuple[int, int]]] = {name: [] for name in QueueName}
        self._throughput = {name: Throughput() for name in QueueName}

    def __len__(self) -> int:
        return sum(len(lane) for lane in self._lanes.values())

    def add(self, exchange: PendingRequest) -> None:
        """Let a request wait."""
        insort(
            self._lanes[choose_queue(exchange.request, exchange.primary_only)],
            (-exchange.weight, exchange.number),
        )

    def remove(self, exchange: PendingRequest) -> None:
        """Let a request wait no longer; one that does not wait is passed over."""
        key = (-exchange.weight, exchange.number)
        for lane in self._lanes.values():
            if key in lane:
                lane.remove(key)

    def first_numbers(self, name: QueueName, limit: int) -> Iterator[int]:
        """Return the first numbers of a lane as it stands now."""
        return (number for _, number in self._lanes[name][:limit])

    def length(self, name: QueueName) -> int:
        """Return how many requests wait in a lane."""
        return len(self._lanes[name])

    def count_ahead(self, name: QueueName, weight: int) -> int:
        """Return how many requests of a lane go before a new one of `weight`."""
        lane = self._lanes[name]
        return sum(-negative >= weight for negative, _ in lane) if lane else 0

    def last_number(self, name: QueueName) -> int | None:
        """Return the number that goes last in a lane, None when it is empty."""
        lane = self._lanes[name]
        return lane[-1][1] if lane else None

    def record_completion(self, exchange: PendingRequest, now: float) -> None:
        """Count a request whose statement ended."""
        name = choose_queue(exchange.request, exchange.primary_only)
        self._throughput[name] = self._throughput[name].record_completion(now)

    def estimate_wait(self, name: QueueName, queued: int, now: float) -> float:
        """Return how long a request behind `queued` others waits, in seconds."""
        self._throughput[name] = self._throughput[name].roll_window(now)
        return self._throughput[name].estimate_wait(queued)
