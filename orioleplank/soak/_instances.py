"""Stand-ins for instances that serve the platform's line protocol over TCP."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ServerFactory, connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure as TwistedFailure

from orioleplank.decision.failover import InstanceReport
from orioleplank.decision.session import (
    Begin,
    Commit,
    Execute,
    ExecutePrepared,
    Prepare,
    PreparedStatement,
    PrepareOnConnection,
    Read,
    Reply,
    ResetConnection,
    Rollback,
    SetConnectionValue,
    SetValue,
    Write,
)
from orioleplank.platform import _codec as codec
from orioleplank.platform._instance import PROXY_CALLER_NAME
from orioleplank.tests._simulated_dialer import HANDSHAKE_S
from orioleplank.tests._simulated_instances import SERVICE, SimulatedGroup, SimulatedInstance
from orioleplank.tests._simulated_links import SimulatedLink
from orioleplank.tests._simulator import Node


class InstanceServer(LineOnlyReceiver):
    """Server side of one connection to an instance."""

    delimiter = b"\r\n"
    MAX_LENGTH = codec.MAX_MESSAGE_BYTES

    def __init__(self, factory: InstanceFactory) -> None:
        self._factory = factory
        self._link: SimulatedLink | None = None
        # Prepared statements of the connection, by name.
        self._shapes: dict[str, PreparedStatement] = {}

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection for the connection limit."""
        self._factory.connections.add(self)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Close the simulated link, which rolls back an open transaction."""
        self._factory.connections.discard(self)
        if self._link is not None:
            self._link.close()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Handle one message; abort the connection on any that is not expected."""
        message_type, _, content = line.decode(codec.ENCODING).partition(" ")
        if message_type == "STARTUP":
            self._start(content)
        elif message_type == "QUERY" and self._link is not None:
            request, _, text = content.partition(" ")
            pending_reply: Deferred[Any] = self._run_statement(self._link, request, text)
            pending_reply.addCallbacks(self._send_reply, lambda _: self.abort())
        else:
            self.abort()

    def abort(self) -> None:
        """Abort the connection."""
        transport: Any = self.transport
        transport.abortConnection()

    def _start(self, content: str) -> None:
        member, factory = self._factory.member, self._factory
        service, _, rest = content.partition(" ")
        caller, _, expected = rest.partition(" ")
        if service != SERVICE or (expected and expected != member.name):
            self._refuse("WRONGNODE")
        elif len(factory.connections) > factory.connection_limit:
            factory.refused_connections += 1
            self._refuse("CONNLIMIT")
        else:
            account = "" if caller == PROXY_CALLER_NAME else caller
            self._link = SimulatedLink(factory.group, Node("connection"), member, account=account)
            factory.group.simulator.call_later(HANDSHAKE_S, lambda: self._send("READY I -"))

    def _refuse(self, code: str) -> None:
        transport: Any = self.transport
        self._send(f"ERROR {code} {self._factory.member.name}")
        transport.loseConnection()

    def _run_statement(self, link: SimulatedLink, request: str, text: str) -> Deferred[Any]:
        minimum_position = None
        if text.startswith("AFTERLSN "):
            _, position, text = text.split(" ", 2)
            minimum_position = codec.parse_position(position)
        if text == "STATUS":
            return link.fetch_report()
        if text == "RESET":
            return link.prepare(ResetConnection())
        if text.startswith("STEPDOWN "):
            return link.step_down(int(text.split(" ")[1]))
        match codec.parse_statement(text):
            case Begin(read_only):
                return link.begin(read_only, minimum_position)
            case Commit():
                return link.commit(request)
            case Rollback():
                return link.roll_back()
            case SetValue(name, value):
                return link.prepare(SetConnectionValue(name, value))
            case Prepare(name, shape):
                self._shapes[name] = shape
                return link.prepare(PrepareOnConnection(name, shape))
            case Execute(name, arguments) if name in self._shapes:
                return link.run(
                    request, ExecutePrepared(self._shapes[name], arguments), name, minimum_position
                )
            case Read() | Write() as statement:
                return link.run(request, statement, "", minimum_position)
        raise AssertionError(f"unexpected statement from a proxy: {text!r}")

    def _send_reply(self, reply: Reply | InstanceReport) -> None:
        if isinstance(reply, InstanceReport):
            position_text = codec.format_position(reply.received_position)
            row = (
                f"{reply.role.value} {reply.term} {position_text} 0 0 {reply.running_statements} 1"
            )
            reply = Reply((row,), position=reply.received_position)
        for row in reply.rows:
            self._send(f"DATAROW {row}")
        if reply.failure is None:
            self._send(f"COMPLETE {reply.signature}")
        else:
            self._send(f"ERROR {codec.WIRE_CODES[reply.failure.code]} {reply.failure.detail}")
        state_letter = codec.STATE_LETTERS[reply.state]
        self._send(f"READY {state_letter} {codec.format_position(reply.position)}")

    def _send(self, line: str) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.write(line.encode(codec.ENCODING) + self.delimiter)


class InstanceFactory(ServerFactory):
    """Accepts connections for one instance and enforces its connection limit."""

    noisy = False

    def __init__(self, group: SimulatedGroup, member: SimulatedInstance, limit: int) -> None:
        self.group = group
        self.member = member
        # Maximum number of open connections.
        self.connection_limit = limit
        self.connections: set[InstanceServer] = set()
        # Connections refused because the limit was reached.
        self.refused_connections = 0

    def buildProtocol(self, addr: object) -> InstanceServer | None:  # noqa: N802
        """Return a connection's protocol; None, which resets the connection, after a crash."""
        return InstanceServer(self) if self.member.alive else None

    def abort_connections(self) -> None:
        """Abort all connections, as a crash of the instance does."""
        for connection in list(self.connections):
            connection.abort()
