"""The order in which waiting requests of several accounts get connections to an instance.

Load pattern: one account sends 7.5 times its usual beside 85 others. In the order of arrival its
requests fill the queue, and all accounts wait behind them. Here a connection that becomes free goes
to the account that has the fewest in use, so that an account that asks for less than its share does
not wait for one that asks for more.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping, Sequence
from heapq import heapify, heappop, heapreplace
from typing import Generic, TypeVar

from msgspec import Struct, field

from orioleplank.decision.admission._transaction_share import (
    NO_TRANSACTION_SHARE,
    TransactionShare,
)


class QueuedRequest(Struct, order=True):
    """A request that waits for a connection; it compares by the order within its account.

    The arrival number is unique, so the fields after it never decide.
    """

    # Priority of its route; 0 is the highest.
    priority: int
    # Priority of its account; 0 is the highest.
    account_priority: int
    # Number of the bucket that contains its deadline.
    deadline_bucket: int
    # Sequence number of its arrival.
    arrival_number: int
    # Name of its account.
    account: str
    # True if the connection is for a transaction.
    is_transaction: bool


QueuedT = TypeVar("QueuedT", bound=QueuedRequest)


class AccountUse(Struct, frozen=True):
    """Connections and transactions that each account has in one pool."""

    # Connections in use, by the account's name. A connection that is being opened is not included:
    # the waiting request for which it is opened counts instead.
    connections: Mapping[str, int] = field(default_factory=dict)
    # How many transactions each account may hold.
    transaction_share: TransactionShare = NO_TRANSACTION_SHARE


# Route priority, account priority, the account's connections in use before the request, deadline
# bucket, arrival number.
_ServiceKey = tuple[int, int, int, int, int]


class _AccountQueue(Generic[QueuedT]):
    """The requests of one account that are not served yet, in their order."""

    def __init__(self, account: str, requests: Sequence[QueuedT], use: AccountUse) -> None:
        self._requests = requests
        self._next_index = 0
        # Connections that the account has once the requests before the next one are served.
        self._connections = use.connections.get(account, 0)
        self._allowance = use.transaction_share.allowance(account)
        # Transactions that were passed over, because the account may not begin them now.
        self.held_back: list[QueuedT] = []

    def find_next(self) -> QueuedT | None:
        """Return the first request that may be served; pass over transactions above the share."""
        while self._next_index < len(self._requests):
            request = self._requests[self._next_index]
            if not request.is_transaction or self._allowance is None or self._allowance > 0:
                return request
            self.held_back.append(request)
            self._next_index += 1
        return None

    def service_key(self, request: QueuedT) -> _ServiceKey:
        """Return the key by which the next request compares with those of other accounts."""
        return (
            request.priority,
            request.account_priority,
            self._connections,
            request.deadline_bucket,
            request.arrival_number,
        )

    def advance(self, request: QueuedT) -> None:
        """Count the next request as served."""
        self._next_index += 1
        self._connections += 1
        if request.is_transaction and self._allowance is not None:
            self._allowance -= 1


def order_by_service(
    queues: Mapping[str, Sequence[QueuedT]], use: AccountUse
) -> Iterator[tuple[QueuedT, bool]]:
    """Return the waiting requests in the order of service, each with whether it may be served now.

    `queues` holds the queue of each account, in order. The order of service is: route priority,
    account priority, fewest connections in use by the account, deadline bucket, arrival. A request
    that is ordered before another one counts as a connection of its account. Transactions that
    exceed the share of their account come last, and may not be served now.
    """
    if len(queues) == 1 and not use.transaction_share.is_limiting:
        for requests in queues.values():
            yield from ((request, True) for request in requests)
        return
    if not use.transaction_share.is_limiting:
        yield from _merge_unlimited(queues, use.connections)
        return
    yield from _merge_queues(
        [_AccountQueue(account, requests, use) for account, requests in queues.items()]
    )


def _merge_unlimited(
    queues: Mapping[str, Sequence[QueuedT]], connections: Mapping[str, int]
) -> Iterator[tuple[QueuedT, bool]]:
    """Merge queues as `_merge_queues` does, without a limit for transactions.

    It is separate because it runs for each connection that becomes free.
    """
    heads = [
        (
            requests[0].priority,
            requests[0].account_priority,
            connections.get(account, 0),
            requests[0].deadline_bucket,
            requests[0].arrival_number,
            0,
            requests,
        )
        for account, requests in queues.items()
    ]
    heapify(heads)
    while heads:
        _, _, used, _, _, index, requests = heads[0]
        yield requests[index], True
        index += 1
        if index == len(requests):
            heappop(heads)
            continue
        following = requests[index]
        head = (
            following.priority,
            following.account_priority,
            used + 1,
            following.deadline_bucket,
            following.arrival_number,
            index,
            requests,
        )
        heapreplace(heads, head)


def _merge_queues(queues: Collection[_AccountQueue[QueuedT]]) -> Iterator[tuple[QueuedT, bool]]:
    heads: list[tuple[_ServiceKey, _AccountQueue[QueuedT], QueuedT]] = []
    for queue in queues:
        request = queue.find_next()
        if request is not None:
            heads.append((queue.service_key(request), queue, request))
    # The keys contain the arrival number, so that queues are never compared.
    heapify(heads)
    while heads:
        _, queue, request = heads[0]
        yield request, True
        queue.advance(request)
        following = queue.find_next()
        if following is None:
            heappop(heads)
        else:
            heapreplace(heads, (queue.service_key(following), queue, following))
    held_back = [request for queue in queues for request in queue.held_back]
    yield from ((request, False) for request in sorted(held_back))
