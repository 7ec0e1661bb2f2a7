"""A TCP relay on loopback that can delay, block (in one or both directions) or reset links."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure

# Pause before blocked bytes are checked again.
POLL_INTERVAL_S = 0.02


@dataclass(slots=True)
class LinkFaults:
    """The faults of a link."""

    # Delay in each direction, in seconds.
    delay: float = 0.0
    # True while bytes to the target, or from it, are not forwarded.
    holds_to_target: bool = False
    holds_from_target: bool = False


class _LinkEnd(Protocol):
    """One of the two connections of a relayed link."""

    def __init__(self, link: FaultyLink, is_accepted: bool) -> None:
        self._link = link
        self._is_accepted = is_accepted
        self.other: _LinkEnd | None = None
        self._queued: deque[tuple[float, bytes]] = deque()
        self._is_forwarding = False

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection; an accepted one opens the connection to the target."""
        self._link.ends.add(self)
        if self._is_accepted:
            self._link.connect(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Queue bytes until the link's faults allow forwarding them."""
        reactor = self._link.reactor
        self._queued.append((reactor.seconds() + self._link.faults.delay, data))
        if not self._is_forwarding:
            self._is_forwarding = True
            self._forward()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Abort the other connection after the delay, so that forwarded bytes can still arrive.

        Bytes that are still queued are dropped.
        """
        self._link.ends.discard(self)
        other, self.other = self.other, None
        if other is not None:
            other.other = None
            self._link.reactor.callLater(self._link.faults.delay + POLL_INTERVAL_S, other.abort)

    def abort(self) -> None:
        """Abort the connection."""
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def _forward(self) -> None:
        faults, reactor = self._link.faults, self._link.reactor
        is_blocked = faults.holds_to_target if self._is_accepted else faults.holds_from_target
        while (
            self._queued
            and not is_blocked
            and self.other
            and self._queued[0][0] <= reactor.seconds()
        ):
            transport: Any = self.other.transport
            transport.write(self._queued.popleft()[1])
        if self._queued and self._link.is_open(self):
            reactor.callLater(
                POLL_INTERVAL_S if is_blocked or not self.other else 0.001, self._forward
            )
        else:
            self._is_forwarding = False


class FaultyLink(ServerFactory):
    """Accepts connections at an address and relays them to a target."""

    noisy = False

    def __init__(self, reactor: Any, address: tuple[str, int], target: tuple[str, int]) -> None:
        self.reactor = reactor
        self.address = address
        self.faults = LinkFaults()
        self.ends: set[_LinkEnd] = set()
        self._target = target
        self._port = reactor.listenTCP(address[1], self, interface=address[0])

    @property
    def host_port(self) -> str:
        """The address that it listens at, as HOST:PORT."""
        return f"{self.address[0]}:{self.address[1]}"

    def buildProtocol(self, addr: object) -> Protocol:  # noqa: N802
        """Return the protocol of an accepted connection."""
        return _LinkEnd(self, True)

    def is_open(self, end: _LinkEnd) -> bool:
        """Return True while an end is connected."""
        return end in self.ends

    def connect(self, accepted: _LinkEnd) -> None:
        """Connect an accepted end to the target; abort it when the target refuses."""
        outgoing = _LinkEnd(self, False)
        host, port = self._target

        def pair(_: object) -> None:
            accepted.other, outgoing.other = outgoing, accepted
            if accepted not in self.ends:
                outgoing.abort()

        connecting: Any = connectProtocol(
            TCP4ClientEndpoint(self.reactor, host, port, 1.0), outgoing
        )
        connecting.addCallbacks(pair, lambda _: accepted.abort())

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self._port.stopListening()
        self.reset_all()

    def reset_all(self) -> None:
        """Abort all connections."""
        for end in list(self.ends):
            end.abort()
