"""Structured log lines on standard output: one JSON object a line, bounded, never blocking."""

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

# Lines a second for events that each request may cause; the rest is counted and summed up.
REQUEST_LINES_PER_S = 50
# Bytes that wait for a slow reader before lines are dropped.
WAITING_LIMIT = 256 * 1024


@unique
class EventType(Enum):
    """What a line is about, by its number; docs/EVENTS.md lists them."""

    STARTED = 1100
    READY = 1101
    STOPPING = 1102
    STOPPED = 1103
    RELOADED = 1104
    ROUTES = 1200
    INSTANCE = 1201
    GROUP = 1300
    LEASE = 1301
    SUSPICION = 1302
    MOVE = 1303
    REQUEST = 1400
    LEFT_OUT = 1401
    STORE = 1500
    FLEET = 1501
    UNREADABLE = 1502
    ERROR = 1900


class _OutputHandler(Handler, StringFormatterHandlerMixin):
    """Writes to a file descriptor without ever waiting for its reader."""

    def __init__(self, descriptor: int) -> None:
        Handler.__init__(self)
        StringFormatterHandlerMixin.__init__(self, "{record.message}")
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._size = 0
        self.dropped = 0

    def emit(self, record: LogRecord) -> None:
        """Write a line, or keep it until the reader takes it, or drop it."""
        line = self.format(record).encode() + b"\n"
        if self._size + len(line) > WAITING_LIMIT:
            self.dropped += 1
            return
        self._waiting.append(line)
        self._size += len(line)
        self._flush()

    def _flush(self) -> None:
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting[0])
            except BlockingIOError:
                return
            except OSError:
                self.dropped += len(self._waiting)
                self._waiting.clear()
                self._size = 0
                return
            self._size -= written
            rest = self._waiting[0][written:]
            if rest:
                self._waiting[0] = rest
            else:
                self._waiting.popleft()


class EventLog:
    """Writes what was decided and why."""

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
        self._window = 0
        self._in_window = 0
        self._left_out = 0

    def log_event(self, topic: EventType, **fields: object) -> None:
        """Write a line on a belief, a dependency, a start or a stop."""
        self._on_event(topic.name.lower())
        line = {
            "at": round(self._now(), 3),
            "time": round(time.time(), 3),
            "event": topic.value,
            "name": topic.name.lower(),
            "proxy": self._proxy,
            **fields,
        }
        with self._handler.threadbound():
            self._logger.info(json.dumps(line, default=str))

    def log_request(self, **fields: object) -> None:
        """Write a line on a request, within the budget of the current second."""
        window = int(self._now())
        if window != self._window:
            self._report_left_out()
            self._window, self._in_window = window, 0
        self._in_window += 1
        if self._in_window > REQUEST_LINES_PER_S:
            self._left_out += 1
            return
        self.log_event(EventType.REQUEST, **fields)

    def _report_left_out(self) -> None:
        left_out, self._left_out = self._left_out, 0
        dropped, self._handler.dropped = self._handler.dropped, 0
        if left_out or dropped:
            self.log_event(EventType.LEFT_OUT, over_budget=left_out, not_written=dropped)
