"""Owns all streams to upstream instances."""

from __future__ import annotations

from dataclasses import dataclass

import grpc
from twisted.internet.defer import Deferred, succeed

from orioleplank.daemon import _service_names as names
from orioleplank.daemon._connection import Connection
from orioleplank.daemon._control import ControlStream
from orioleplank.decision.quorum import (
    CloseConnection,
    CloseControlStream,
    ConnectionId,
    LedgerAnswered,
    LedgerState,
    OpenConnection,
    OpenControlStream,
    ProbeInstance,
    QueryLedger,
    SendFollow,
    SendPromote,
    SendSeal,
    SendStatement,
)
from orioleplank.kernel import Service
from orioleplank.wire import encode_statement

CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.keepalive_time_ms", 1000),
    ("grpc.keepalive_timeout_ms", 2000),
    ("grpc.http2.max_pings_without_data", 0),
)


@dataclass(frozen=True, slots=True)
class _InstanceKey:
    """Names an instance."""

    # Name of the service.
    service: str
    # Name of the instance.
    instance: str


class UpstreamManager(Service):
    """Opens and closes streams, and passes on what comes and goes on them."""

    def __init__(self) -> None:
        super().__init__(names.UPSTREAMS)
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._controls: dict[_InstanceKey, ControlStream] = {}
        self._connections: dict[ConnectionId, Connection] = {}

    def stop(self) -> Deferred[None]:
        """Close all streams."""
        for connection in self._connections.values():
            connection.close()
        for control in self._controls.values():
            control.close()
        return succeed(None)

    def receive(self, message: object) -> None:
        """Carry out an effect."""
        match message:
            case SendStatement(connection=connection):
                self._connections[connection].send(encode_statement(message))
            case OpenConnection(connection, address):
                self._open_connection(connection, address)
            case CloseConnection(connection):
                self._close_connection(connection)
            case OpenControlStream(service, instance, address):
                self._watch(_InstanceKey(service, instance), address)
            case CloseControlStream(service, instance):
                self._forget(_InstanceKey(service, instance))
            case ProbeInstance() | QueryLedger() | SendSeal() | SendPromote() | SendFollow():
                self._ask(message)

    def _channel(self, address: str) -> grpc.aio.Channel:
        if address not in self._channels:
            self._channels[address] = grpc.aio.insecure_channel(address, CHANNEL_OPTIONS)
        return self._channels[address]

    def _open_connection(self, connection: ConnectionId, address: str) -> None:
        decisions = self.kernel.get_service(names.DECISIONS)
        opened = Connection(connection, self._channel(address), decisions.post)
        self._connections[connection] = opened
        opened.start()

    def _close_connection(self, connection: ConnectionId) -> None:
        opened = self._connections.pop(connection, None)
        if opened is not None:
            opened.close()

    def _watch(self, key: _InstanceKey, address: str) -> None:
        self._forget(key)
        decisions = self.kernel.get_service(names.DECISIONS)
        control = ControlStream(key.service, key.instance, self._channel(address), decisions.post)
        self._controls[key] = control
        control.start()

    def _forget(self, key: _InstanceKey) -> None:
        control = self._controls.pop(key, None)
        if control is not None:
            control.close()

    def _ask(
        self, effect: ProbeInstance | QueryLedger | SendSeal | SendPromote | SendFollow
    ) -> None:
        control = self._controls.get(_InstanceKey(effect.service, effect.instance))
        if control is not None:
            control.send_request(effect)
        elif isinstance(effect, QueryLedger):
            answer = LedgerAnswered(
                effect.service, effect.instance, effect.query_number, LedgerState.UNREACHABLE
            )
            self.kernel.get_service(names.DECISIONS).post(answer)
