"""Two request queues for each service: one for the primary, one for reads that a replica may serve.

A queue is ordered by descending weight, then by arrival, so that overload affects the kinds with
the highest weight last. With two queues, a busy primary does not delay reads that replicas can
serve, and busy replicas do not delay requests for the primary.
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
    """Instances that the requests of a queue wait for."""

    PRIMARY = "primary"
    REPLICA = "replica"


def choose_queue(request: Request, primary_only: bool = False) -> QueueName:
    """Return the queue of a request; `primary_only` excludes replicas."""
    if may_use_replica(request) and not primary_only:
        return QueueName.REPLICA
    return QueueName.PRIMARY


class RequestQueues:
    """The queued requests of one service, and the measured throughput of each queue."""

    def __init__(self) -> None:
        self._queues: dict[QueueName, list[tuple[int, int]]] = {name: [] for name in QueueName}
        self._throughput = {name: Throughput() for name in QueueName}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def add(self, pending: PendingRequest) -> None:
        """Insert a request into its queue."""
        insort(
            self._queues[choose_queue(pending.request, pending.primary_only)],
            (-pending.weight, pending.number),
        )

    def remove(self, pending: PendingRequest) -> None:
        """Remove a request from its queue; do nothing if it is not queued."""
        key = (-pending.weight, pending.number)
        for queue in self._queues.values():
            if key in queue:
                queue.remove(key)

    def first_numbers(self, name: QueueName, limit: int) -> Iterator[int]:
        """Iterate over the first `limit` request numbers of a queue, as of this call."""
        return (number for _, number in self._queues[name][:limit])

    def length(self, name: QueueName) -> int:
        """Return the number of requests in a queue."""
        return len(self._queues[name])

    def count_ahead(self, name: QueueName, weight: int) -> int:
        """Return how many queued requests would be served before a new one of `weight`."""
        queue = self._queues[name]
        return sum(-negated_weight >= weight for negated_weight, _ in queue) if queue else 0

    def last_number(self, name: QueueName) -> int | None:
        """Return the number of the last request in a queue; None when the queue is empty."""
        queue = self._queues[name]
        return queue[-1][1] if queue else None

    def record_completion(self, pending: PendingRequest, now: float) -> None:
        """Record that the statement of a request ended, for the throughput of its queue."""
        name = choose_queue(pending.request, pending.primary_only)
        self._throughput[name] = self._throughput[name].record_completion(now)

    def estimate_wait(self, name: QueueName, count: int, now: float) -> float:
        """Return the expected wait of a request behind `count` others, in seconds."""
        self._throughput[name] = self._throughput[name].roll_window(now)
        return self._throughput[name].estimate_wait(count)
