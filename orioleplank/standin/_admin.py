"""Orders to a stand-in instance, and its audit, over HTTP."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Protocol

from twisted.web.resource import Resource
from twisted.web.server import Request

from orioleplank._http_server import read_request_body
from orioleplank.standin._instance import Instance


@dataclass(slots=True)
class Counters:
    """What an audit shows besides the log."""

    # Connections open now.
    connections: int = 0
    # Slots busy now.
    busy: int = 0
    # Most connections open at once.
    most_connections: int = 0
    # Most slots busy at once.
    most_busy: int = 0
    # Statements refused because all slots were busy.
    slots_exceeded: int = 0
    # Connections refused because all were taken.
    connections_exceeded: int = 0
    # Statements run.
    statements: int = 0


@dataclass(slots=True)
class Faults:
    """What an order may change while the instance runs."""

    # Seconds by which replication lags.
    lag: float = 0.0
    # True when the instance neither sends nor takes log entries.
    cut_from_group: bool = False
    # Replicas pulling now, for waking them.
    log_changed: asyncio.Event = field(default_factory=asyncio.Event)


class AdminTarget(Protocol):
    """What takes orders."""

    # Its log, role and data.
    instance: Instance
    # What an audit shows besides the log.
    counters: Counters
    # What an order may change.
    faults: Faults
    # Statements it runs at once.
    slots: int


class AdminResource(Resource):
    """GET shows an audit; POST changes lag, leaving and the cut from the group."""

    isLeaf = True  # noqa: N815

    def __init__(self, server: AdminTarget) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._server = server

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Return the log and the counters as JSON."""
        instance, counters = self._server.instance, self._server.counters
        brief = b"brief" in (request.args or {})
        entries = [
            {
                "term": entry.position.term,
                "index": entry.position.index,
                "id": entry.ledger_id,
                "tombstone": entry.tombstone,
                "payloads": [payload.hex() for payload in entry.payloads],
            }
            for entry in ([] if brief else instance.log)
        ]
        audit = {
            "name": instance.name,
            "term": instance.term,
            "role": instance.role.value,
            "following": instance.following,
            "log": entries,
            "slots": self._server.slots,
            "most_busy": counters.most_busy,
            "slots_exceeded": counters.slots_exceeded,
            "connections": counters.connections,
            "most_connections": counters.most_connections,
            "connections_exceeded": counters.connections_exceeded,
            "statements": counters.statements,
        }
        return json.dumps(audit).encode()

    def render_POST(self, request: Request) -> bytes:  # noqa: N802
        """Change how the instance behaves."""
        order = json.loads(read_request_body(request))
        self._server.faults.lag = order.get("lag", self._server.faults.lag)
        self._server.instance.leaving = order.get("leaving", self._server.instance.leaving)
        self._server.faults.cut_from_group = order.get(
            "cut_from_group", self._server.faults.cut_from_group
        )
        return b"{}"
