"""Stand-ins of instances that speak the platform's line protocol over TCP."""

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
from orioleplank.tests._simulated_dialer import HANDSHAKE_S
from orioleplank.tests._simulated_instances import SERVICE, SimulatedGroup, SimulatedInstance
from orioleplank.tests._simulated_links import SimulatedLink
from orioleplank.tests._simulator import Node


class InstanceServer(LineOnlyReceiver):
    """One connection to an instance."""

    delimiter = b"\r\n"
    MAX_LENGTH = codec.MAX_MESSAGE_BYTES

    def __init__(self, factory: InstanceFactory) -> None:
        self._factory = factory
        self._link: SimulatedLink | None = None
        # What the connection's prepared names stand for.
        self._shapes: dict[str, PreparedStatement] = {}

    def connectionMade(self) -> None:  # noqa: N802
        """Count the connection."""
        self._factory.connections.add(self)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Roll back what is not committed."""
        self._factory.connections.discard(self)
        if self._link is not None:
            self._link.close()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Take one message."""
        word, _, rest = line.decode(codec.ENCODING).partition(" ")
        if word == "STARTUP":
            self._start(rest)
        elif word == "QUERY" and self._link is not None:
            request, _, text = rest.partition(" ")
            asked: Deferred[Any] = self._ask(self._link, request, text)
            asked.addCallbacks(self._answer, lambda _: self.abort())
        else:
            self.abort()

    def abort(self) -> None:
        """Break the connection."""
        transport: Any = self.transport
        transport.abortConnection()

    def _start(self, rest: str) -> None:
        member, factory = self._factory.member, self._factory
        service, _, expected = rest.partition(" ")
        expected = expected.partition(" ")[2]
        if service != SERVICE or (expected and expected != member.name):
            self._refuse("WRONGNODE")
        elif len(factory.connections) > factory.connection_limit:
            factory.refused_connections += 1
            self._refuse("CONNLIMIT")
        else:
            self._link = SimulatedLink(factory.group, Node("connection"), member)
            factory.group.simulator.call_later(HANDSHAKE_S, lambda: self._send("READY I -"))

    def _refuse(self, word: str) -> None:
        transport: Any = self.transport
        self._send(f"ERROR {word} {self._factory.member.name}")
        transport.loseConnection()

    def _ask(self, link: SimulatedLink, request: str, text: str) -> Deferred[Any]:
        after = None
        if text.startswith("AFTERLSN "):
            _, position, text = text.split(" ", 2)
            after = codec.parse_position(position)
        if text == "STATUS":
            return link.fetch_report()
        if text == "RESET":
            return link.prepare(ResetConnection())
        if text.startswith("STEPDOWN "):
            return link.step_down(int(text.split(" ")[1]))
        match codec.parse_statement(text):
            case Begin(read_only):
                return link.begin(read_only, after)
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
                    request, ExecutePrepared(self._shapes[name], arguments), name, after
                )
            case Read() | Write() as statement:
                return link.run(request, statement, "", after)
        raise AssertionError(f"the product sent {text!r}")

    def _answer(self, answer: Reply | InstanceReport) -> None:
        if isinstance(answer, InstanceReport):
            at = codec.format_position(answer.received_position)
            row = f"{answer.role.value} {answer.term} {at} 0 0 {answer.running_statements} 1"
            answer = Reply((row,), position=answer.received_position)
        for row in answer.rows:
            self._send(f"DATAROW {row}")
        if answer.failure is None:
            self._send(f"COMPLETE {answer.signature}")
        else:
            self._send(f"ERROR {codec.WIRE_CODES[answer.failure.code]} {answer.failure.detail}")
        letter = codec.STATE_LETTERS[answer.state]
        self._send(f"READY {letter} {codec.format_position(answer.position)}")

    def _send(self, line: str) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.write(line.encode(codec.ENCODING) + self.delimiter)


class InstanceFactory(ServerFactory):
    """One instance."""

    noisy = False

    def __init__(self, group: SimulatedGroup, member: SimulatedInstance, limit: int) -> None:
        self.group = group
        self.member = member
        # Connections that it accepts.
        self.connection_limit = limit
        self.connections: set[InstanceServer] = set()
        # Connections that it refused because there were too many.
        self.refused_connections = 0

    def buildProtocol(self, addr: object) -> InstanceServer | None:  # noqa: N802
        """Return a connection's protocol; None for an instance that is dead, which resets it."""
        return InstanceServer(self) if self.member.alive else None

    def abort_connections(self) -> None:
        """Break all connections, because the instance has crashed."""
        for connection in list(self.connections):
            connection.abort()
