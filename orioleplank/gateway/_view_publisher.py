"""Tells other proxies what this one knows from the store.

The receiver dates what it gets by when it asked, less the age that the sender states; so it never
counts as younger than it is.
"""

from __future__ import annotations

from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from orioleplank.decision.membership import (
    PeerMessage,
    ProxyRecord,
    ViewAsked,
    ViewTold,
    ViewVersions,
)
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._fleet_membership import FleetMembership
from orioleplank.gateway._peer_socket import PeerSocket
from orioleplank.gateway._store_view import (
    VIEW_PATH,
    StoreView,
    VersionedProxyRecord,
    encode_view,
    parse_known_versions,
)

# A listing older than this gives hardly a lease any more, in seconds; nobody passes it on.
OLDEST_S = 8.0
# How long a proxy that asked once is told of changes, in seconds: several of its questions.
LISTENS_S = 3.0
# How often changes are looked for although nothing was told, in seconds.
LOOK_AGAIN_S = 10.0


class ViewPublisher(Resource):
    """Serves this proxy's view, and tells those who follow it when it has changed."""

    isLeaf = True  # noqa: N815

    def __init__(self, beliefs: ClusterState, registry: FleetMembership, me: str) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._beliefs = beliefs
        self._registry = registry
        self._me = me
        # When each listener asked last, in seconds, by its name.
        self._listeners: dict[str, float] = {}
        self._told = beliefs.versions
        self.socket: PeerSocket | None = None

    def build_site(self) -> Site:
        """Return a site that serves the view."""
        site = Site(self)
        site.noisy = False
        return site

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Serve what is newer than the asker's view; 503 while it is too old to be of use."""
        if request.path != b"/" + VIEW_PATH:
            request.setResponseCode(404)
            return b""
        try:
            known = parse_known_versions(request.args or {})
        except ValueError:
            request.setResponseCode(400)
            return b""
        view = self.build_view(known)
        if view.age > OLDEST_S:
            request.setResponseCode(503)
            return b""
        return encode_view(view)

    def build_view(self, known: ViewVersions) -> StoreView:
        """Return what this proxy knows from the store beyond `known`."""
        beliefs, revisions = self._beliefs, self._registry.proxy_revisions
        fleet = beliefs.fleet.proxies
        seen = (
            VersionedProxyRecord(record, revisions.get(name, 0)) for name, record in fleet.items()
        )
        instances = beliefs.directory.instances.values()
        listed = tuple(known.entry for known in instances if known.missing_since is None)
        return StoreView(
            self._age,
            beliefs.versions,
            tuple(fleet),
            tuple(proxy for proxy in seen if proxy.revision > known.records),
            tuple(g for g in beliefs.leases.group_records.values() if g.revision > known.records),
            beliefs.routes if beliefs.routes.version > known.routes else None,
            listed if beliefs.directory_revision > known.instances else None,
        )

    def handle_message(self, message: PeerMessage) -> None:
        """Tell a proxy that asks how new this one's view is."""
        match message:
            case ViewAsked(sender, number):
                self._listeners[sender] = self._beliefs.now()
                self._tell(sender, number)

    def subscribers(self) -> tuple[ProxyRecord, ...]:
        """Return the proxies that follow this one."""
        since = self._beliefs.now() - LISTENS_S
        names = [name for name, at in self._listeners.items() if at >= since]
        known = (self._beliefs.fleet.proxies.get(name) for name in names)
        return tuple(record for record in known if record is not None)

    async def publish_changes(self) -> None:
        """Tell the listeners whenever the view has changed."""
        while True:
            await self._beliefs.changed.wait(LOOK_AGAIN_S)
            if self._beliefs.versions == self._told:
                continue
            self._told = self._beliefs.versions
            listeners = self.subscribers()
            self._listeners = {r.name: self._listeners[r.name] for r in listeners}
            for name in self._listeners:
                self._tell(name, 0)

    @property
    def _age(self) -> float:
        return self._beliefs.lease_clock() - self._beliefs.leases.listing_requested_at

    def _tell(self, name: str, number: int) -> None:
        record = self._beliefs.fleet.proxies.get(name)
        if record is not None and self.socket is not None:
            told = ViewTold(self._me, number, self._age, self._beliefs.versions)
            self.socket.send(record.address, told)
