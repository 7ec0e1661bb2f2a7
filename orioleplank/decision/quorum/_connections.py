"""A proxy's connections to upstream instances, and the transactions that own some of them."""

from __future__ import annotations

from dataclasses import replace

from orioleplank.decision.quorum._effect import CloseConnection, Event, OpenConnection
from orioleplank.decision.quorum._mechanism import Switch
from orioleplank.decision.quorum._message import ConnectionId, ConnectionOpened
from orioleplank.decision.quorum._node import Node
from orioleplank.decision.quorum._pool import Pool
from orioleplank.decision.quorum._transaction import (
    Fate,
    Transaction,
    TransactionKey,
    begin_transaction,
)

TRANSACTION_IDLE_S = 30.0


class Connections:
    """All connections of one proxy."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._owners: dict[ConnectionId, TransactionKey] = {}
        # Transactions in progress.
        self.transactions: dict[TransactionKey, Transaction] = {}

    def pool(self, connection: ConnectionId) -> Pool | None:
        """Return the pool of a connection, None when its instance is gone."""
        return self._node.pools.get(connection.service, {}).get(connection.instance)

    def _set(self, connection: ConnectionId, pool: Pool) -> None:
        self._node.pools[connection.service][connection.instance] = pool

    def _get(self, connection: ConnectionId) -> Pool:
        return self._node.pools[connection.service][connection.instance]

    def open_ahead(self, service: str, instance: str, demand: int) -> None:
        """Open connections for `demand` waiting statements and one to spare."""
        spec = self._node.spec(service).instance(instance)
        pool = self._node.pools[service][instance]
        if spec is None:
            return
        for _ in range(pool.wants(demand, self._node.now)):
            pool, number = pool.open()
            effect = OpenConnection(ConnectionId(service, instance, number), spec.address)
            self._node.emit(effect)
        self._node.pools[service][instance] = pool

    def take_opened(self, message: ConnectionOpened) -> bool:
        """Take a new connection into its pool; tell whether it was wanted."""
        pool = self.pool(message.connection)
        if pool is None or message.connection.number not in pool.opening:
            self._node.emit(CloseConnection(message.connection))
            return False
        self._set(message.connection, pool.opened(message.connection.number))
        return True

    def drop(self, connection: ConnectionId) -> bool:
        """Forget a connection that ended; tell whether it was known."""
        pool = self.pool(connection)
        if pool is None or not pool.knows(connection.number):
            return False
        self._set(connection, pool.drop(connection.number, self._node.now))
        return True

    def close(self, connection: ConnectionId) -> None:
        """Close a connection that is in doubt."""
        if not self._node.mechanisms.on(Switch.CLOSE_ON_DOUBT):
            self.free(connection)
            return
        self.drop(connection)
        self._node.emit(CloseConnection(connection))

    def take(self, service: str, instance: str) -> ConnectionId | None:
        """Take a free connection, None when there is none."""
        pool = self._node.pools[service][instance]
        if not pool.idle:
            return None
        pool, number = pool.take()
        connection = ConnectionId(service, instance, number)
        self._set(connection, pool)
        return connection

    def free(self, connection: ConnectionId) -> None:
        """Give back a connection that is in no doubt."""
        self._set(connection, self._get(connection).free(connection.number))

    def start(self, connection: ConnectionId) -> None:
        """Count a statement as running."""
        self._set(connection, self._get(connection).start())

    def end(self, connection: ConnectionId) -> None:
        """Count a statement as ended."""
        self._set(connection, self._get(connection).end())

    def doubt(self, connection: ConnectionId) -> None:
        """Count a statement as one that may still run."""
        self._set(connection, self._get(connection).doubt(self._node.now))

    # Transactions.

    def own(self, key: TransactionKey, connection: ConnectionId, term: int) -> None:
        """Let a transaction own a connection."""
        self.transactions[key] = begin_transaction(key, connection, term, self._node.now)
        self._owners[connection] = key

    def owner(self, connection: ConnectionId) -> Transaction | None:
        """Return the transaction that owns a connection, None without one."""
        key = self._owners.get(connection)
        return self.transactions[key] if key is not None else None

    def touch(self, transaction: Transaction) -> None:
        """Note that a transaction is used."""
        used = replace(transaction, used_at=self._node.now)
        self.transactions[transaction.key] = used

    def disown(self, connection: ConnectionId) -> None:
        """Let a transaction that has ended go."""
        del self.transactions[self._owners.pop(connection)]

    def lose_owner(self, connection: ConnectionId) -> Fate | None:
        """End the transaction of a lost connection; None when it had none."""
        key = self._owners.pop(connection, None)
        if key is None:
            return None
        transaction = self.transactions.pop(key)
        self._node.note(Event.TRANSACTION_ABORTED, "end transaction", connection.instance)
        return transaction.lifecycle.lose()

    def idle_transactions(self) -> list[Transaction]:
        """Return the transactions that have not been used for long."""
        oldest = self._node.now - TRANSACTION_IDLE_S
        return [item for item in self.transactions.values() if item.used_at <= oldest]
