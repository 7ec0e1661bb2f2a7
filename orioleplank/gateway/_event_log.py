"""Structured log on standard output: one JSON object per line, bounded and non-blocking."""

from __future__ import annotations

import json
import os
import sys
import time
from collections import deque
from collections.abc import Callable
from enum import Enum, unique

from logbook import Logger, LogRecord
from logbook.handlers import Handler, StringFormatterHandlerMixin

# Lines per second for events that every request may cause; further ones are only counted.
REQUEST_LINES_PER_S = 50
# Bytes that are buffered for a slow reader before lines are dropped.
PENDING_OUTPUT_LIMIT_BYTES = 256 * 1024


@unique
class EventType(Enum):
    """The type of a log line, with its number; docs/EVENTS.md describes them."""

    STARTED = 1100
    READY = 1101
    STOPPING = 1102
    STOPPED = 1103
    RELOADED = 1104
    ROUTES = 1200
    INSTANCE = 1201
    ROUTES_BEHIND = 1202
    STATEMENT_LIMIT = 1210
    GROUP = 1300
    LEASE = 1301
    SUSPICION = 1302
    MOVE = 1303
    REQUEST = 1400
    LEFT_OUT = 1401
    LIMIT = 1402
    STORE = 1500
    FLEET = 1501
    UNREADABLE = 1502
    ERROR = 1900


class _OutputHandler(Handler, StringFormatterHandlerMixin):
    """Writes log lines to a non-blocking file descriptor, and buffers them for a slow reader.

    `dropped` counts the lines that were lost because the buffer was full or a write failed.
    """

    def __init__(self, descriptor: int) -> None:
        Handler.__init__(self)
        StringFormatterHandlerMixin.__init__(self, "{record.message}")
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self.dropped = 0

    def emit(self, record: LogRecord) -> None:
        """Write a line or buffer it; drop it when the buffer is full."""
        line = self.format(record).encode() + b"\n"
        if self._pending_bytes + len(line) > PENDING_OUTPUT_LIMIT_BYTES:
            self.dropped += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        self._flush()

    def _flush(self) -> None:
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending[0])
            except BlockingIOError:
                return
            except OSError:
                self.dropped += len(self._pending)
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            remainder = self._pending[0][written:]
            if remainder:
                self._pending[0] = remainder
            else:
                self._pending.popleft()


class EventLog:
    """Logs events as JSON lines, and reports each event's name to `on_event`.

    Lines about requests are limited per second. The numbers of suppressed and dropped lines are
    logged as `LEFT_OUT`.
    """

    def __init__(
        self, proxy: str, now: Callable[[], float], on_event: Callable[[str], None]
    ) -> None:
        self._proxy = proxy
        self._now = now
        self._on_event = on_event
        descriptor = sys.stdout.fileno()
        os.set_blocking(descriptor, False)
        self._handler = _OutputHandler(descriptor)
        self._logger = Logger("orioleplank")
        self._current_second = 0
        self._lines_this_second = 0
        self._suppressed = 0

    def log_event(self, event_type: EventType, **fields: object) -> None:
        """Log a change of the cluster state, an event of a dependency, a start or a stop."""
        self._on_event(event_type.name.lower())
        line = {
            "at": round(self._now(), 3),
            "time": round(time.time(), 3),
            "event": event_type.value,
            "name": event_type.name.lower(),
            "proxy": self._proxy,
            **fields,
        }
        with self._handler.threadbound():
            self._logger.info(json.dumps(line, default=str))

    def log_request(self, **fields: object) -> None:
        """Log a request, unless the limit of lines for the current second is reached."""
        self._log_bounded(EventType.REQUEST, **fields)

    def log_limit(self, **fields: object) -> None:
        """Log a met limit of the intake, within the same limit of lines."""
        self._log_bounded(EventType.LIMIT, **fields)

    def _log_bounded(self, event_type: EventType, **fields: object) -> None:
        second = int(self._now())
        if second != self._current_second:
            self._report_suppressed()
            self._current_second, self._lines_this_second = second, 0
        self._lines_this_second += 1
        if self._lines_this_second > REQUEST_LINES_PER_S:
            self._suppressed += 1
            return
        self.log_event(event_type, **fields)

    def _report_suppressed(self) -> None:
        suppressed, self._suppressed = self._suppressed, 0
        dropped, self._handler.dropped = self._handler.dropped, 0
        if suppressed or dropped:
            self.log_event(EventType.LEFT_OUT, over_budget=suppressed, not_written=dropped)
