"""Options of TCP sockets that end a connection which goes silent although new ones would work."""

from __future__ import annotations

import socket

# Bytes that the other side has not acknowledged for this long end a connection, in milliseconds.
USER_TIMEOUT_MS = 3000
# Seconds of silence before a keep-alive probe, and between probes.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_PROBES = 2


def set_tcp_timeouts(handle: socket.socket) -> None:
    """End a connection whose other side is silent for a few seconds."""
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
