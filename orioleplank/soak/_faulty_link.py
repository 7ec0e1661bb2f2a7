"""A loopback proxy whose links are delayed, silent, cut one way or reset."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure

# Pause before held bytes are looked at again, in seconds.
LOOK_S = 0.02


@dataclass(slots=True)
class LinkFaults:
    """What happens to bytes on a link."""

    # Seconds added each way.
    delay: float = 0.0
    # True while bytes towards the target are held, and bytes from it.
    holds_to_target: bool = False
    holds_from_target: bool = False


class _End(Protocol):
    """One of two connections that are joined."""

    def __init__(self, link: FaultyLink, is_near: bool) -> None:
        self._link = link
        self._is_near = is_near
        self.other: _End | None = None
        self._held: deque[tuple[float, bytes]] = deque()
        self._is_passing = False

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the target."""
        self._link.ends.add(self)
        if self._is_near:
            self._link.connect(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Hold bytes until they may pass."""
        reactor = self._link.reactor
        self._held.append((reactor.seconds() + self._link.faults.delay, data))
        if not self._is_passing:
            self._is_passing = True
            self._pass_on()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End the other connection once what it sent has passed."""
        self._link.ends.discard(self)
        other, self.other = self.other, None
        if other is not None:
            other.other = None
            self._link.reactor.callLater(self._link.faults.delay + LOOK_S, other.end)

    def end(self) -> None:
        """End the connection."""
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def _pass_on(self) -> None:
        mode, reactor = self._link.faults, self._link.reactor
        holds = mode.holds_to_target if self._is_near else mode.holds_from_target
        while self._held and not holds and self.other and self._held[0][0] <= reactor.seconds():
            transport: Any = self.other.transport
            transport.write(self._held.popleft()[1])
        if self._held and self._link.is_open(self):
            reactor.callLater(LOOK_S if holds or not self.other else 0.001, self._pass_on)
        else:
            self._is_passing = False


class FaultyLink(ServerFactory):
    """Takes connections at an address and passes them on to a target."""

    noisy = False

    def __init__(self, reactor: Any, address: tuple[str, int], target: tuple[str, int]) -> None:
        self.reactor = reactor
        self.address = address
        self.faults = LinkFaults()
        self.ends: set[_End] = set()
        self._target = target
        self._port = reactor.listenTCP(address[1], self, interface=address[0])

    @property
    def host_port(self) -> str:
        """Return its address, HOST:PORT."""
        return f"{self.address[0]}:{self.address[1]}"

    def buildProtocol(self, addr: object) -> Protocol:  # noqa: N802
        """Return the near end of a connection."""
        return _End(self, True)

    def is_open(self, end: _End) -> bool:
        """Tell whether an end is still connected."""
        return end in self.ends

    def connect(self, near: _End) -> None:
        """Connect a near end to the target; it breaks when the target refuses."""
        far = _End(self, False)
        host, port = self._target

        def join(_: object) -> None:
            near.other, far.other = far, near
            if near not in self.ends:
                far.end()

        connecting: Any = connectProtocol(TCP4ClientEndpoint(self.reactor, host, port, 1.0), far)
        connecting.addCallbacks(join, lambda _: near.end())

    def close(self) -> None:
        """Break all connections and take no more."""
        self._port.stopListening()
        self.reset_all()

    def reset_all(self) -> None:
        """Break all connections."""
        for end in list(self.ends):
            end.end()
