"""Crowds of callers that send as fast as the other side reads, without waiting for answers."""

from __future__ import annotations

import selectors
import socket
import struct
import time
from collections.abc import Callable
from contextlib import suppress

# Reset instead of an orderly end when the socket is closed.
_NO_LINGER = struct.pack("ii", 1, 0)
# A crowd of which nobody can send for this time has come to a standstill.
STANDSTILL_S = 1.5


class Crowd:
    """Connections that each send the same bytes; none of them reads."""

    def __init__(self, connect: Callable[[], socket.socket], size: int) -> None:
        self.connections: list[socket.socket] = []
        for _ in range(size):
            with suppress(OSError):
                self.connections.append(connect())
        for connection in self.connections:
            connection.setblocking(False)

    def send(
        self, data: bytes, should_stop: Callable[[], bool], seconds: float, piece: int = 65536
    ) -> None:
        """Send `data` on each connection in pieces, in turn, until all is sent or it stands still.

        A connection that the other side has closed is left out. Also ends when `should_stop`
        returns true, and after a time.
        """
        view = memoryview(data)
        offsets = dict.fromkeys(self.connections, 0)
        deadline = time.monotonic() + seconds
        with selectors.DefaultSelector() as selector:
            for opened in self.connections:
                selector.register(opened, selectors.EVENT_WRITE, opened)
            while selector.get_map() and time.monotonic() < deadline and not should_stop():
                writable = selector.select(STANDSTILL_S)
                if not writable:
                    return
                for key, _ in writable:
                    connection = key.data
                    offset = offsets[connection]
                    try:
                        offset += connection.send(view[offset : offset + piece])
                    except BlockingIOError:
                        continue
                    except OSError:
                        selector.unregister(connection)
                        continue
                    offsets[connection] = offset
                    if offset >= len(data):
                        selector.unregister(connection)

    def read_slowly(self, seconds: float) -> None:
        """Read one byte of each connection at a time."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for connection in self.connections:
                with suppress(OSError):
                    connection.recv(1)
            time.sleep(0.05)

    def close(self) -> None:
        """Reset all connections."""
        for connection in self.connections:
            with suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            connection.close()


def flood(connect: Callable[[], socket.socket], number: int) -> None:
    """Open connections one after another and reset each at once."""
    for _ in range(number):
        with suppress(OSError):
            connection = connect()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            connection.close()
