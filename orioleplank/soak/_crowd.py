"""A crowd of callers that do not keep to the protocol, as a fault of the soak."""

from __future__ import annotations

from random import Random
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

# Connections of one crowd; together they send more than the default budget of the smallest machine.
CROWD_SIZE = 80
# Longest time for which a crowd stays, in seconds.
CROWD_S = 3.0

_STARTUP = b"STARTUP catalogue crowd\r\n"
_LARGE = b"v" * 900_000
# What each connection of a crowd sends; nothing is read. No statement reaches an instance, because
# the audit knows only those of its own callers.
_FORMS = (
    b"",
    _STARTUP,
    _LARGE,
    _STARTUP + b"QUERY c EXECUTE unknown " + _LARGE,
    _STARTUP + b"".join(b"QUERY c SET n%d %s\r\n" % (n, _LARGE) for n in range(6)),
    _STARTUP + b"QUERY c EXECUTE unknown\r\n" * 5000,
)


class _CrowdCaller(Protocol):
    """One connection of a crowd."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def connectionMade(self) -> None:  # noqa: N802
        """Send everything and read nothing."""
        transport: Any = self.transport
        transport.pauseProducing()
        transport.write(self._data)


class _CrowdFactory(Factory):
    """Creates the connections of one crowd."""

    noisy = False

    def __init__(self, data: bytes) -> None:
        self.data = data

    def buildProtocol(self, addr: object) -> Protocol:  # noqa: N802
        """Return the protocol of one connection."""
        return _CrowdCaller(self.data)


def send_crowd(reactor: Any, random: Random, host: str, port: int) -> None:
    """Open a crowd of one form, which is reset after a while."""
    data, stay = random.choice(_FORMS), CROWD_S * random.random()
    factory = _CrowdFactory(data)
    for _ in range(CROWD_SIZE):
        _connect(reactor, factory, host, port, stay)


def _connect(reactor: Any, factory: Any, host: str, port: int, stay: float) -> None:
    def reset_later(caller: Any) -> None:
        reactor.callLater(stay, caller.transport.abortConnection)

    connecting: Any = TCP4ClientEndpoint(reactor, host, port, 2.0).connect(factory)
    connecting.addCallbacks(reset_later, lambda _: None)
