"""A stand-in for the platform's object store and promotion call over HTTP."""

from __future__ import annotations

import json
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from orioleplank.decision.accounts import AccountTable
from orioleplank.decision.instances import InstanceEntry, RouteTable
from orioleplank.tests._simulated_instances import PROMOTION_DELAY_S, SimulatedGroup
from orioleplank.tests._simulated_store import SimulatedStore

# Object kinds that the platform itself writes.
ROUTES_KIND = "config"
INSTANCES_KIND = "servers"
# Probability that a response is lost while the fault of lost responses is active.
RESPONSE_LOSS_PROBABILITY = 0.4

# Specs that another writer may leave, as JSON, by the name that stands for them in the store.
ODD_SPECS = {
    "odd-nested": "[" * 5000 + "]" * 5000,
    "odd-number": "7" * 6000,
    "odd-bytes": '"\xff\xfe"',
    "odd-surrogate": '"\\ud800"',
    "odd-port": (
        '{"service":"books","address":"127.0.0.1:99999","zone":"zone-a","capacity":5,'
        f'"state":"ready","dbRole":"replica","born":{10**30}}}'
    ),
}


def instance_to_json(entry: InstanceEntry, address: str) -> dict[str, object]:
    """Return an instance's entry in the platform's JSON form, with `address` for connections."""
    return {
        "service": entry.service,
        "address": address,
        "zone": entry.zone,
        "version": "1",
        "capacity": entry.slots,
        "state": entry.state.value,
        "warmupLeftMs": 0,
        "sequence": 1,
        "dbRole": entry.role.value,
        "born": entry.born or 1,
    }


def routes_to_json(table: RouteTable) -> dict[str, object]:
    """Return a route table in the platform's JSON form."""
    kinds = {"primary": "primary", "bounded": "bounded_staleness", "own-writes": "read_your_writes"}
    routes = [
        {
            "host": route.database,
            "type": kinds[route.consistency.value],
            "service": route.service,
            "timeoutMs": route.timeout * 1000,
            "maxStalenessMs": route.max_age * 1000,
            "priority": route.priority,
        }
        for route in table.routes.values()
    ]
    services = [
        {"name": name, "maxConns": limits.max_connections, "syncReplicas": limits.sync_replicas}
        for name, limits in table.services.items()
    ]
    limits = {"txIdleMs": table.transaction_idle * 1000}
    document: dict[str, object] = {
        "version": table.version,
        "routes": routes,
        "services": services,
        "limits": limits,
    }
    if table.accounts is not None:
        document["tenants"] = _accounts_to_json(table.accounts)
    return document


def _accounts_to_json(table: AccountTable) -> list[dict[str, object]]:
    """Return the accounts in the platform's JSON form, one entry for each name."""
    entries: dict[str, dict[str, object]] = {}
    keys: dict[str, list[str]] = {}
    for key, account in table.by_key.items():
        keys.setdefault(account.name, []).append(key)
        entry: dict[str, object] = {"name": account.name, "priority": account.priority}
        if account.limit is not None:
            entry |= {"ratePerS": account.limit.rate, "burst": account.limit.burst}
        entries[account.name] = {**entry, "apiKeys": keys[account.name]}
    return list(entries.values())


class StoreResource(Resource):
    """Serves the object store at `/orioleplank/objects/KIND[/NAME]`."""

    isLeaf = True  # noqa: N815

    def __init__(self, store: SimulatedStore) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._store = store

    def caller_of(self, request: Request) -> str:
        """Return the name by which the store knows the proxy that sent a request."""
        return ""

    def stored_kind(self, kind: str) -> str:
        """Return under which kind the simulated store has the objects of a kind in a path."""
        return kind

    def to_spec(self, item: Any) -> object:
        """Return a stored item in the platform's JSON form."""
        return item

    def _to_json(self, name: str, revision: int, item: Any) -> dict[str, object]:
        spec = None if item is None else self.to_spec(item)
        return {"meta": {"name": name, "revision": revision}, "spec": spec}

    def render(self, request: Request) -> Any:
        """Serve one call, with the faults that the simulated store has at the time."""
        store = self._store
        store.call_counts[self.caller_of(request) or request.method.decode()] += 1
        if store.refuses(self.caller_of(request)):
            return self._respond(request, 503, {})
        segments = request.path.decode().strip("/").split("/")
        kind, name = self.stored_kind(segments[2]), segments[3] if len(segments) > 3 else ""
        query = {key.decode(): values[0].decode() for key, values in (request.args or {}).items()}
        if request.method == b"GET" and "watch" in query:
            self._watch(request, kind, int(query["watch"]), int(query["waitMs"]) / 1000)
            return NOT_DONE_YET
        code, body = self._serve(request, kind, name, query)
        is_lost = (
            store.loses_answers and store.simulator.random.random() < RESPONSE_LOSS_PROBABILITY
        )
        if is_lost:
            store.simulator.call_later(0, request.loseConnection)
        else:
            store.simulator.call_later(store.slowness, lambda: self._send(request, code, body))
        return NOT_DONE_YET

    def _serve(
        self, request: Request, kind: str, name: str, query: dict[str, str]
    ) -> tuple[int, object]:
        store = self._store
        objects = store.objects.get(kind, {})
        if request.method == b"GET":
            items = [self._to_json(name, *stored) for name, stored in sorted(objects.items())]
            return 200, {"items": items, "hasMore": False, "at": store.revision}
        body = (
            json.loads((request.content.read() if request.content else b"") or b"{}")
            if request.method != b"DELETE"
            else {}
        )
        name = name or body["meta"]["name"]
        expected = int(query.get("revision") or body.get("meta", {}).get("revision") or 0)
        stored = objects.get(name)
        if request.method == b"POST":
            if stored is not None:
                return 409, self._to_json(name, *stored)
            return 200, self._to_json(name, store.put(kind, name, body["spec"]), body["spec"])
        if stored is None:
            return 404, {}
        if expected and stored[0] != expected:
            return 409, self._to_json(name, *stored)
        if request.method == b"DELETE":
            store.delete(kind, name)
            return 200, {}
        revision = stored[0] if stored[1] == body["spec"] else store.put(kind, name, body["spec"])
        return 200, self._to_json(name, revision, body["spec"])

    def _watch(self, request: Request, kind: str, revision: int, wait_s: float) -> None:
        store, watch = self._store, {"open": True}
        request.notifyFinish().addBoth(lambda _: watch.update(open=False))
        deadline, era = store.simulator.now + wait_s, store.era

        def poll() -> None:
            if not watch["open"]:
                return
            if store.era != era:
                return
            is_refused = store.refuses(self.caller_of(request))
            if is_refused or not store.oldest_revision <= revision <= store.revision:
                watch["open"] = False
                self._send(request, 503 if is_refused else 410, {})
                return
            changes = [c for c in store.history if c.revision > revision and c.kind == kind]
            if not changes and store.simulator.now < deadline:
                store.watchers.append(poll)
                return
            watch["open"] = False
            events = [
                {"object": self._to_json(c.name, c.revision, c.item), "deleted": c.item is None}
                for c in changes
            ]
            self._send(request, 200, {"events": events, "at": store.revision})

        store.simulator.call_later(wait_s, poll)
        poll()

    def _respond(self, request: Request, code: int, body: object) -> Any:
        self._send(request, code, body)
        return NOT_DONE_YET

    def _send(self, request: Request, code: int, body: object) -> None:
        if not request.channel:
            return
        request.setResponseCode(code)
        request.setHeader("Store-Era", str(self._store.era))
        request.write(_encode(body))
        request.finish()


class PromotionResource(Resource):
    """Serves the call that orders the promotion of an instance to primary."""

    isLeaf = True  # noqa: N815

    def __init__(self, group: SimulatedGroup) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._group = group

    def render_POST(self, request: Request) -> bytes:  # noqa: N802
        """Schedule a promotion; the current primary stays as it is, a dead instance gives 409."""
        group = self._group
        body = json.loads(request.content.read() if request.content else b"{}")
        holder = (request.getHeader("X-Orioleplank-Lease-Holder") or "").strip()
        token = int(request.getHeader("X-Orioleplank-Fencing-Token") or 0)
        group.promotion_orders.append((holder, token, body["id"]))
        member = group.members.get(body["id"])
        if member is None or not member.alive:
            request.setResponseCode(409)
            return b"{}"
        if member is not group.primary():
            term = max(m.term for m in group.members.values()) + 1
            group.simulator.call_later(PROMOTION_DELAY_S, lambda: group.promote(body["id"], term))
        return b"{}"


def _encode(body: object) -> bytes:
    """Return a body as JSON, with the odd specs in place of their names."""
    text = json.dumps(body)
    for name, spec in ODD_SPECS.items():
        text = text.replace(json.dumps(name), spec)
    return text.encode("latin-1")


def build_http_site(resource: Resource) -> Site:
    """Return a site that does not log its start and stop."""
    site = Site(resource)
    site.noisy = False
    return site
