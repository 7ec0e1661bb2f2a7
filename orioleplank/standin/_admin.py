"""The admin endpoint of a stand-in instance over HTTP: fault settings and an audit."""

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
    """Counters that an audit reports beside the log."""

    # Connections that are open now.
    connections: int = 0
    # Slots that are busy now.
    busy: int = 0
    # Highest number of connections open at the same time.
    most_connections: int = 0
    # Highest number of slots busy at the same time.
    most_busy: int = 0
    # Statements refused because all slots were busy.
    slots_exceeded: int = 0
    # Connections refused because the connection limit was reached.
    connections_exceeded: int = 0
    # Statements run.
    statements: int = 0


@dataclass(slots=True)
class Faults:
    """Faults that a POST request can change while the instance runs."""

    # Delay before a replica applies log entries, in seconds.
    lag: float = 0.0
    # True when the instance neither sends nor applies log entries.
    cut_from_group: bool = False
    # Set and replaced on each change of the log; wakes replication calls that wait for entries.
    log_changed: asyncio.Event = field(default_factory=asyncio.Event)


class AdminTarget(Protocol):
    """The server that the admin endpoint reads and changes."""

    instance: Instance
    counters: Counters
    faults: Faults
    # Maximum number of statements that run at the same time.
    slots: int


class AdminResource(Resource):
    """GET returns an audit; POST sets `lag`, `leaving` and `cut_from_group`."""

    isLeaf = True  # noqa: N815

    def __init__(self, server: AdminTarget) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._server = server

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Return the log and the counters as JSON; with the argument `brief`, an empty log."""
        instance, counters = self._server.instance, self._server.counters
        is_brief = b"brief" in (request.args or {})
        entries = [
            {
                "term": entry.position.term,
                "index": entry.position.index,
                "id": entry.ledger_id,
                "tombstone": entry.tombstone,
                "payloads": [payload.hex() for payload in entry.payloads],
            }
            for entry in ([] if is_brief else instance.log)
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
        """Apply the values of the JSON body; values that it leaves out stay."""
        changes = json.loads(read_request_body(request))
        self._server.faults.lag = changes.get("lag", self._server.faults.lag)
        self._server.instance.leaving = changes.get("leaving", self._server.instance.leaving)
        self._server.faults.cut_from_group = changes.get(
            "cut_from_group", self._server.faults.cut_from_group
        )
        return b"{}"
