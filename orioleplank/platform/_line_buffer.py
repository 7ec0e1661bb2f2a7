"""Splits received bytes into lines, in time that is linear in the number of bytes."""

from __future__ import annotations

DELIMITER = b"\r\n"


class LineBuffer:
    """Bytes that were received and not taken as lines yet.

    Twisted's `LineOnlyReceiver` splits all that was received at once and copies an unfinished line
    with each piece, so a 1 MiB line in pieces of 100 bytes costs 5 GB of copying.
    """

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._data = bytearray()
        # Where the search for the next delimiter starts.
        self._scanned = 0
        # Start of the first delimiter; -1 if none was received.
        self._end = -1

    def __len__(self) -> int:
        return len(self._data)

    @property
    def has_line(self) -> bool:
        """True if a complete line was received."""
        return self._end >= 0

    @property
    def is_too_long(self) -> bool:
        """True if the first line, complete or not, is longer than allowed."""
        if self._end >= 0:
            return self._end > self._max_line_bytes
        # The last byte may belong to the delimiter.
        return len(self._data) - self._data.endswith(b"\r") > self._max_line_bytes

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self._data += data
        self._find_end()

    def take_line(self) -> bytes:
        """Remove the first line and return it without its delimiter; call only with `has_line`."""
        with memoryview(self._data) as view:
            line = view[: self._end].tobytes()
        del self._data[: self._end + len(DELIMITER)]
        self._scanned = 0
        self._find_end()
        return line

    def clear(self) -> None:
        """Drop all bytes."""
        self._data = bytearray()
        self._scanned, self._end = 0, -1

    def _find_end(self) -> None:
        self._end = self._data.find(DELIMITER, self._scanned)
        self._scanned = self._end if self._end >= 0 else max(0, len(self._data) - 1)
