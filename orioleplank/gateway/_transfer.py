"""How a proxy received a part of the store's contents."""

from __future__ import annotations

from enum import Enum, unique

from msgspec import Struct


@unique
class TransferWay(Enum):
    """Where data came from."""

    # A listing of objects in the store.
    LISTING = "listing"
    # A watch of objects in the store.
    WATCH = "watch"
    # The view of the source that this proxy follows.
    SOURCE = "source"
    # The view of another proxy.
    PEER = "peer"


class Transfer(Struct, frozen=True):
    """The size and duration of a transfer that has ended."""

    # Size of the received body in bytes, as sent.
    size_bytes: int = 0
    # Seconds from the first byte received to the last.
    seconds: float = 0.0

    def add(self, other: Transfer) -> Transfer:
        """Return this transfer followed by another one."""
        return Transfer(self.size_bytes + other.size_bytes, self.seconds + other.seconds)


class Origin(Struct, frozen=True):
    """Where data came from, and its transfer."""

    way: TransferWay
    # Name of the other proxy; empty for the store.
    peer: str = ""
    transfer: Transfer = Transfer()
