"""A proxy's connections to upstream instances, and the transactions that own some of them."""

from __future__ import annotations

from dataclasses import replace

from orioleplank.decision.quorum._connection_pool import ConnectionPool
from orioleplank.decision.quorum._effect import CloseConnection, Event, OpenConnection
from orioleplank.decision.quorum._message import ConnectionId, ConnectionOpened
from orioleplank.decision.quorum._proxy_state import ProxyState
from orioleplank.decision.quorum._safeguards import Safeguard
from orioleplank.decision.quorum._transaction import (
    Transaction,
    TransactionKey,
    TransactionOutcome,
    begin_transaction,
)

TRANSACTION_IDLE_S = 30.0


class ConnectionManager:
    """All connections of one proxy."""

    def __init__(self, node: ProxyState) -> None:
        self._node = node
        self._owners: dict[ConnectionId, TransactionKey] = {}
        # Transactions in progress.
        self.transactions: dict[TransactionKey, Transaction] = {}

    def pool(self, connection: ConnectionId) -> ConnectionPool | None:
        """Return the pool of a connection, None when its instance is gone."""
        return self._node.pools.get(connection.service, {}).get(connection.instance)

    def _set(self, connection: ConnectionId, pool: ConnectionPool) -> None:
        self._node.pools[connection.service][connection.instance] = pool

    def _get(self, connection: ConnectionId) -> ConnectionPool:
        return self._node.pools[connection.service][connection.instance]

    def open_for_demand(self, service: str, instance: str, demand: int) -> None:
        """Open connections for `demand` waiting statements and one to spare."""
        spec = self._node.service_spec(service).instance(instance)
        pool = self._node.pools[service][instance]
        if spec is None:
            return
        for _ in range(pool.count_to_open(demand, self._node.now)):
            pool, number = pool.begin_open()
            effect = OpenConnection(ConnectionId(service, instance, number), spec.address)
            self._node.emit(effect)
        self._node.pools[service][instance] = pool

    def add_opened(self, message: ConnectionOpened) -> bool:
        """Take a new connection into its pool; tell whether it was wanted."""
        pool = self.pool(message.connection)
        if pool is None or message.connection.number not in pool.opening:
            self._node.emit(CloseConnection(message.connection))
            return False
        self._set(message.connection, pool.finish_open(message.connection.number))
        return True

    def remove(self, connection: ConnectionId) -> bool:
        """Forget a connection that ended; tell whether it was known."""
        pool = self.pool(connection)
        if pool is None or not pool.contains(connection.number):
            return False
        self._set(connection, pool.remove(connection.number, self._node.now))
        return True

    def close(self, connection: ConnectionId) -> None:
        """Close a connection that is in doubt."""
        if not self._node.safeguards.is_enabled(Safeguard.CLOSE_ON_DOUBT):
            self.release(connection)
            return
        self.remove(connection)
        self._node.emit(CloseConnection(connection))

    def acquire(self, service: str, instance: str) -> ConnectionId | None:
        """Take a free connection, None when there is none."""
        pool = self._node.pools[service][instance]
        if not pool.idle:
            return None
        pool, number = pool.acquire()
        connection = ConnectionId(service, instance, number)
        self._set(connection, pool)
        return connection

    def release(self, connection: ConnectionId) -> None:
        """Give back a connection that is in no doubt."""
        self._set(connection, self._get(connection).release(connection.number))

    def start_statement(self, connection: ConnectionId) -> None:
        """Count a statement as running."""
        self._set(connection, self._get(connection).start_statement())

    def end_statement(self, connection: ConnectionId) -> None:
        """Count a statement as ended."""
        self._set(connection, self._get(connection).end_statement())

    def mark_statement_uncertain(self, connection: ConnectionId) -> None:
        """Count a statement as one that may still run."""
        self._set(connection, self._get(connection).mark_statement_uncertain(self._node.now))

    # Transactions.

    def pin_transaction(self, key: TransactionKey, connection: ConnectionId, term: int) -> None:
        """Let a transaction own a connection."""
        self.transactions[key] = begin_transaction(key, connection, term, self._node.now)
        self._owners[connection] = key

    def pinned_transaction(self, connection: ConnectionId) -> Transaction | None:
        """Return the transaction that owns a connection, None without one."""
        key = self._owners.get(connection)
        return self.transactions[key] if key is not None else None

    def touch(self, transaction: Transaction) -> None:
        """Note that a transaction is used."""
        used = replace(transaction, used_at=self._node.now)
        self.transactions[transaction.key] = used

    def unpin_transaction(self, connection: ConnectionId) -> None:
        """Let a transaction that has ended go."""
        del self.transactions[self._owners.pop(connection)]

    def abort_transaction(self, connection: ConnectionId) -> TransactionOutcome | None:
        """End the transaction of a lost connection; None when it had none."""
        key = self._owners.pop(connection, None)
        if key is None:
            return None
        transaction = self.transactions.pop(key)
        self._node.log_event(Event.TRANSACTION_ABORTED, "end transaction", connection.instance)
        return transaction.lifecycle.lose_connection()

    def idle_transactions(self) -> list[Transaction]:
        """Return the transactions that have not been used for long."""
        oldest = self._node.now - TRANSACTION_IDLE_S
        return [item for item in self.transactions.values() if item.used_at <= oldest]
