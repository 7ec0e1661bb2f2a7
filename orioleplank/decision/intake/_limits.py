"""The limits on misbehaving callers, peers and instances, and how they follow from the machine."""

from __future__ import annotations

from msgspec import Struct

MIB = 1024 * 1024
# Memory, in MB, and descriptors of the smallest machine in the deployments.
SMALLEST_MEMORY_MB = 200.0
SMALLEST_DESCRIPTORS = 4300
# Memory of a process without held bytes, in MB: about 46 once it serves, and the rest for 2,150
# open connections.
BASE_MEMORY_MB = 80.0
# Bytes of memory that one held byte may take: it is copied when it is parsed, encoded or sent on.
MEMORY_FACTOR = 2.0
# Share of the descriptors that connections of callers, channels, and connections to each other
# internal port may take. The rest is for files, instances and the instance side of tunnels.
CALLER_SHARE, CHANNEL_SHARE, PEER_SHARE = 1 / 2, 1 / 12, 1 / 24
# On a machine with few descriptors, each internal port still serves a deployment of 88 proxies.
MIN_PEER_CONNECTIONS = 128


class CallerLimits(Struct, frozen=True):
    """Limits on what one process keeps for others; callers that keep to the protocol meet none."""

    # Bytes held in the process for callers, peers and instances together: read and not handled,
    # unanswered, kept in sessions, received of replies, and not read by the other side.
    process_bytes: int = int((SMALLEST_MEMORY_MB - BASE_MEMORY_MB) / MEMORY_FACTOR) * MIB
    # Open connections of callers.
    connections: int = int(SMALLEST_DESCRIPTORS * CALLER_SHARE)
    # Open channels from other proxies.
    peer_channels: int = int(SMALLEST_DESCRIPTORS * CHANNEL_SHARE)
    # Open connections to each other internal port and to the readiness port.
    peer_connections: int = int(SMALLEST_DESCRIPTORS * PEER_SHARE)
    # With this many bytes of unanswered requests of one connection, its next one is not handled
    # yet.
    ahead_bytes: int = MIB
    # With this many unanswered requests of one connection, its next one is not handled yet.
    ahead_requests: int = 5
    # Bytes of answers that one caller may leave unread, and of frames that one peer may.
    unread_bytes: int = 32 * MIB
    # Seconds for which answers may stay unread after the write buffer was full.
    unread_timeout: float = 60.0
    # Seconds from the first byte of a message to its last, without the time in which the proxy
    # does not read.
    message_timeout: float = 60.0
    # Bytes of the values and prepared statements of one session, names included.
    session_bytes: int = 4 * MIB
    # Number of values of one session.
    session_values: int = 1000
    # Number of prepared statements of one session.
    session_statements: int = 1000
    # Bytes of the rows of one reply of an instance.
    reply_bytes: int = 8 * MIB


def derive_limits(memory_mb: float | None, descriptors: int | None) -> CallerLimits:
    """Return the limits for a machine; the smallest one is assumed where nothing is stated."""
    memory = SMALLEST_MEMORY_MB if memory_mb is None else memory_mb
    # At least a quarter of the memory, so that a machine with less than `BASE_MEMORY_MB` still
    # serves single messages.
    held_mb = max((memory - BASE_MEMORY_MB) / MEMORY_FACTOR, memory / 4)
    limit = SMALLEST_DESCRIPTORS if descriptors is None else descriptors
    return CallerLimits(
        process_bytes=int(held_mb * MIB),
        connections=max(1, int(limit * CALLER_SHARE)),
        peer_channels=max(MIN_PEER_CONNECTIONS, int(limit * CHANNEL_SHARE)),
        peer_connections=max(MIN_PEER_CONNECTIONS, int(limit * PEER_SHARE)),
    )
