"""Manages a proxy's upstream connections, and the transactions that own some of them."""

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

# A transaction without a statement for this long is rolled back.
TRANSACTION_IDLE_TIMEOUT_S = 30.0


class ConnectionManager:
    """All upstream connections of one proxy, and the transactions in progress on them."""

    def __init__(self, proxy_state: ProxyState) -> None:
        self._proxy_state = proxy_state
        self._keys_by_connection: dict[ConnectionId, TransactionKey] = {}
        self.transactions: dict[TransactionKey, Transaction] = {}

    def pool(self, connection: ConnectionId) -> ConnectionPool | None:
        """Return the pool of a connection; None when its instance is no longer configured."""
        return self._proxy_state.pools.get(connection.service, {}).get(connection.instance)

    def _save_pool(self, connection: ConnectionId, pool: ConnectionPool) -> None:
        self._proxy_state.pools[connection.service][connection.instance] = pool

    def _pool_of(self, connection: ConnectionId) -> ConnectionPool:
        return self._proxy_state.pools[connection.service][connection.instance]

    def open_for_demand(self, service: str, instance: str, demand: int) -> None:
        """Open connections for `demand` queued statements, and one spare connection."""
        spec = self._proxy_state.service_spec(service).instance(instance)
        pool = self._proxy_state.pools[service][instance]
        if spec is None:
            return
        for _ in range(pool.count_to_open(demand, self._proxy_state.now)):
            pool, number = pool.begin_open()
            effect = OpenConnection(ConnectionId(service, instance, number), spec.address)
            self._proxy_state.emit(effect)
        self._proxy_state.pools[service][instance] = pool

    def add_opened(self, message: ConnectionOpened) -> bool:
        """Add a new connection to its pool.

        Closes the connection and returns False if its pool no longer expects it.
        """
        pool = self.pool(message.connection)
        if pool is None or message.connection.number not in pool.opening:
            self._proxy_state.emit(CloseConnection(message.connection))
            return False
        self._save_pool(message.connection, pool.finish_open(message.connection.number))
        return True

    def remove(self, connection: ConnectionId) -> bool:
        """Remove a connection that ended; return False if it was not in a pool."""
        pool = self.pool(connection)
        if pool is None or not pool.contains(connection.number):
            return False
        self._save_pool(connection, pool.remove(connection.number, self._proxy_state.now))
        return True

    def close(self, connection: ConnectionId) -> None:
        """Close a connection that must not be reused, such as one whose statement is in doubt."""
        if not self._proxy_state.safeguards.is_enabled(Safeguard.CLOSE_ON_DOUBT):
            self.release(connection)
            return
        self.remove(connection)
        self._proxy_state.emit(CloseConnection(connection))

    def acquire(self, service: str, instance: str) -> ConnectionId | None:
        """Take an idle connection to an instance; None when there is none."""
        pool = self._proxy_state.pools[service][instance]
        if not pool.idle:
            return None
        pool, number = pool.acquire()
        connection = ConnectionId(service, instance, number)
        self._save_pool(connection, pool)
        return connection

    def release(self, connection: ConnectionId) -> None:
        """Return a connection to its pool; no statement may be running on it."""
        self._save_pool(connection, self._pool_of(connection).release(connection.number))

    def start_statement(self, connection: ConnectionId) -> None:
        """Count a statement on a connection as running."""
        self._save_pool(connection, self._pool_of(connection).start_statement())

    def end_statement(self, connection: ConnectionId) -> None:
        """Count a statement on a connection as ended."""
        self._save_pool(connection, self._pool_of(connection).end_statement())

    def mark_statement_uncertain(self, connection: ConnectionId) -> None:
        """Count a statement as ended for this proxy, but possibly still running at the instance."""
        self._save_pool(
            connection, self._pool_of(connection).mark_statement_uncertain(self._proxy_state.now)
        )

    # Transactions.

    def pin_transaction(self, key: TransactionKey, connection: ConnectionId, term: int) -> None:
        """Start a transaction that owns `connection`; `term` is the term of the primary."""
        self.transactions[key] = begin_transaction(key, connection, term, self._proxy_state.now)
        self._keys_by_connection[connection] = key

    def pinned_transaction(self, connection: ConnectionId) -> Transaction | None:
        """Return the transaction that owns a connection; None when there is none."""
        key = self._keys_by_connection.get(connection)
        return self.transactions[key] if key is not None else None

    def touch(self, transaction: Transaction) -> None:
        """Restart the idle timeout of a transaction."""
        updated = replace(transaction, last_used_at=self._proxy_state.now)
        self.transactions[transaction.key] = updated

    def unpin_transaction(self, connection: ConnectionId) -> None:
        """Remove an ended transaction; its connection is no longer owned."""
        del self.transactions[self._keys_by_connection.pop(connection)]

    def abort_transaction(self, connection: ConnectionId) -> TransactionOutcome | None:
        """End the transaction of a lost connection; return its outcome, None if it had none."""
        key = self._keys_by_connection.pop(connection, None)
        if key is None:
            return None
        transaction = self.transactions.pop(key)
        self._proxy_state.log_event(
            Event.TRANSACTION_ABORTED, "end transaction", connection.instance
        )
        return transaction.lifecycle.lose_connection()

    def idle_transactions(self) -> list[Transaction]:
        """Return the transactions that have reached the idle timeout."""
        used_before = self._proxy_state.now - TRANSACTION_IDLE_TIMEOUT_S
        return [
            transaction
            for transaction in self.transactions.values()
            if transaction.last_used_at <= used_before
        ]
