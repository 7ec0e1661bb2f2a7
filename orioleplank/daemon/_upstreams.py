"""Service that holds all gRPC streams to upstream instances."""

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
    """Identifies an instance of a service."""

    service: str
    instance: str


class UpstreamManager(Service):
    """Opens and closes control streams and database connections, and sends requests on them.

    Streams to the same address share one gRPC channel; what they receive is posted to the decision
    service.
    """

    def __init__(self) -> None:
        super().__init__(names.UPSTREAMS)
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._control_streams: dict[_InstanceKey, ControlStream] = {}
        self._connections: dict[ConnectionId, Connection] = {}

    def stop(self) -> Deferred[None]:
        """Cancel all streams."""
        for connection in self._connections.values():
            connection.close()
        for control_stream in self._control_streams.values():
            control_stream.close()
        return succeed(None)

    def receive(self, message: object) -> None:
        """Carry out an effect of the decision code."""
        match message:
            case SendStatement(connection=connection):
                self._connections[connection].send(encode_statement(message))
            case OpenConnection(connection, address):
                self._open_connection(connection, address)
            case CloseConnection(connection):
                self._close_connection(connection)
            case OpenControlStream(service, instance, address):
                self._open_control_stream(_InstanceKey(service, instance), address)
            case CloseControlStream(service, instance):
                self._close_control_stream(_InstanceKey(service, instance))
            case ProbeInstance() | QueryLedger() | SendSeal() | SendPromote() | SendFollow():
                self._send_control_request(message)

    def _get_channel(self, address: str) -> grpc.aio.Channel:
        if address not in self._channels:
            self._channels[address] = grpc.aio.insecure_channel(address, CHANNEL_OPTIONS)
        return self._channels[address]

    def _open_connection(self, connection_id: ConnectionId, address: str) -> None:
        decisions = self.kernel.get_service(names.DECISIONS)
        connection = Connection(connection_id, self._get_channel(address), decisions.post)
        self._connections[connection_id] = connection
        connection.start()

    def _close_connection(self, connection_id: ConnectionId) -> None:
        connection = self._connections.pop(connection_id, None)
        if connection is not None:
            connection.close()

    def _open_control_stream(self, key: _InstanceKey, address: str) -> None:
        self._close_control_stream(key)
        decisions = self.kernel.get_service(names.DECISIONS)
        control_stream = ControlStream(
            key.service, key.instance, self._get_channel(address), decisions.post
        )
        self._control_streams[key] = control_stream
        control_stream.start()

    def _close_control_stream(self, key: _InstanceKey) -> None:
        control_stream = self._control_streams.pop(key, None)
        if control_stream is not None:
            control_stream.close()

    def _send_control_request(
        self, effect: ProbeInstance | QueryLedger | SendSeal | SendPromote | SendFollow
    ) -> None:
        control_stream = self._control_streams.get(_InstanceKey(effect.service, effect.instance))
        if control_stream is not None:
            control_stream.send_request(effect)
        elif isinstance(effect, QueryLedger):
            unreachable = LedgerAnswered(
                effect.service, effect.instance, effect.query_number, LedgerState.UNREACHABLE
            )
            self.kernel.get_service(names.DECISIONS).post(unreachable)
