"""An instance that answers some reads with large replies, or with replies that never end."""

from __future__ import annotations

from typing import Any

from orioleplank.soak._instances import InstanceFactory, InstanceServer
from orioleplank.tests._misbehaving_platform import (
    ENDLESS_LINE,
    ENDLESS_ROWS,
    LARGE_ROW_BYTES,
    SEVERAL_LARGE_ROWS,
    SEVERAL_ROWS,
)

_ROW = b"DATAROW " + b"r" * LARGE_ROW_BYTES + b"\r\n"
_END = b"COMPLETE 1.1\r\nREADY I 1.1\r\n"


class _EndlessProducer:
    """Writes the same bytes as long as the other side reads them."""

    def __init__(self, transport: Any, data: bytes) -> None:
        self._transport = transport
        self._data = data

    def resumeProducing(self) -> None:  # noqa: N802
        """Write once more; called each time the write buffer is empty."""
        self._transport.write(self._data)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the connection has ended."""


class MisbehavingInstanceServer(InstanceServer):
    """Server side of one connection to such an instance."""

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Answer reads of the special arguments; other messages are handled as usual."""
        argument = line.decode("latin-1").rpartition(" ")[2]
        transport: Any = self.transport
        if argument == SEVERAL_LARGE_ROWS:
            transport.write(_ROW * SEVERAL_ROWS + _END)
        elif argument == ENDLESS_ROWS:
            transport.registerProducer(_EndlessProducer(transport, _ROW), False)
        elif argument == ENDLESS_LINE:
            transport.write(b"DATAROW ")
            transport.registerProducer(_EndlessProducer(transport, b"r" * 65536), False)
        else:
            super().lineReceived(line)


class MisbehavingInstanceFactory(InstanceFactory):
    """Accepts connections for one such instance."""

    def buildProtocol(self, addr: object) -> InstanceServer | None:  # noqa: N802
        """Return the protocol of a connection."""
        return MisbehavingInstanceServer(self)
