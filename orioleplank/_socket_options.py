"""TCP socket options that close a connection whose peer has stopped responding.

Without them, an established connection can hang although a new connection to the same peer would
succeed.
"""

from __future__ import annotations

import socket

# The connection is closed when sent data stays unacknowledged for this long.
USER_TIMEOUT_MS = 3000
# Idle time before the first keepalive probe, and the interval between probes.
KEEPALIVE_IDLE_S = 2
# Unanswered probes after which the connection is closed.
KEEPALIVE_PROBES = 2


def set_tcp_timeouts(sock: socket.socket) -> None:
    """Make the kernel close the connection when its peer is unresponsive for a few seconds."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
