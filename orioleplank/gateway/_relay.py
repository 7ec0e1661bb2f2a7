"""What the store says, passed on to a proxy that the store does not answer.

The receiver dates what it gets by when it asked, less the age that the sender states; so it never
counts as younger than it is.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

import treq
from pydantic import TypeAdapter, ValidationError
from twisted.internet.defer import CancelledError
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.error import ConnectError, ConnectionDone, ConnectionLost
from twisted.web.client import Agent, ResponseFailed, ResponseNeverReceived
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from orioleplank.decision.group import SeenRecord
from orioleplank.decision.instances import InstanceEntry, RouteTable
from orioleplank.decision.membership import ProxyRecord
from orioleplank.gateway._beliefs import Beliefs
from orioleplank.gateway._journal import Journal, Topic
from orioleplank.gateway._registry import Registry

PATH = b"view"
# Time for a peer's answer, in seconds: several round trips between regions.
ASK_LIMIT_S = 0.7
# A listing older than this gives no lease worth having, in seconds; no one passes it on.
OLDEST_S = 9.0

_BROKEN = (
    CancelledError,
    ConnectError,
    ConnectionDone,
    ConnectionLost,
    DeferredTimeoutError,
    ResponseFailed,
    ResponseNeverReceived,
    ValidationError,
)


@dataclass(frozen=True, slots=True)
class StoreView:
    """What one proxy knows from the store."""

    # Seconds since the listing of the records was asked for.
    age: float
    # The registered proxies.
    proxies: tuple[ProxyRecord, ...]
    # The groups' records.
    groups: tuple[SeenRecord, ...]
    # The configuration.
    routes: RouteTable
    # The instances, and the store's revision of their listing.
    instances: tuple[InstanceEntry, ...]
    instances_revision: int


_VIEW = TypeAdapter(StoreView)


class Relay(Resource):
    """Serves this proxy's view, and asks others for theirs."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        reactor: Any,
        beliefs: Beliefs,
        registry: Registry,
        journal: Journal,
        me: str,
        random: Random,
    ) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._reactor = reactor
        self._beliefs = beliefs
        self._registry = registry
        self._journal = journal
        self._me = me
        self._random = random
        self._agent: Any = Agent(reactor, connectTimeout=ASK_LIMIT_S)
        self._is_asking = False

    def build_site(self) -> Site:
        """Return a site that serves the view."""
        site = Site(self)
        site.noisy = False
        return site

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Serve the view; 503 while it is too old to be of use."""
        view = self.describe()
        if request.path != b"/" + PATH:
            request.setResponseCode(404)
            return b""
        if view.age > OLDEST_S:
            request.setResponseCode(503)
            return b""
        return _VIEW.dump_json(view)

    def describe(self) -> StoreView:
        """Return what this proxy knows from the store."""
        beliefs = self._beliefs
        known = beliefs.directory.instances.values()
        return StoreView(
            beliefs.lease_now() - beliefs.leases.asked_at,
            tuple(beliefs.fleet.proxies.values()),
            tuple(beliefs.leases.seen.values()),
            beliefs.routes,
            tuple(instance.entry for instance in known if instance.missing_since is None),
            beliefs.directory_revision,
        )

    async def ask(self) -> None:
        """Ask one other proxy for its view."""
        peers = [peer for peer in self._beliefs.fleet.active() if peer.name != self._me]
        if not peers or self._is_asking:
            return
        peer = self._random.choice(peers)
        self._is_asking = True
        asked_at = self._beliefs.lease_now()
        try:
            view = await self._fetch(peer)
        except _BROKEN as error:
            self._note(peer, f"no view: {type(error).__name__}")
            return
        finally:
            self._is_asking = False
        if view is not None:
            self._note(peer, "view taken", age=round(view.age, 3), routes=view.routes.version)
            self.take(view, asked_at)

    def take(self, view: StoreView, asked_at: float) -> None:
        """Take a view that was asked for at `asked_at`, on the clock of leases."""
        beliefs = self._beliefs
        beliefs.take_routes(view.routes)
        if view.instances_revision > beliefs.directory_revision:
            beliefs.directory_revision = view.instances_revision
            beliefs.take_directory(beliefs.directory.take_listing(view.instances, beliefs.now()))
        if asked_at - view.age > beliefs.leases.asked_at:
            self._registry.take_records(view.proxies, view.groups, asked_at - view.age)

    async def _fetch(self, peer: ProxyRecord) -> StoreView | None:
        response = await treq.get(
            f"http://{peer.address}/{PATH.decode()}",
            agent=self._agent,
            timeout=ASK_LIMIT_S,
            reactor=self._reactor,
        )
        body = await treq.content(response).addTimeout(ASK_LIMIT_S, self._reactor)
        return _VIEW.validate_json(body) if response.code == 200 else None

    def _note(self, peer: ProxyRecord, outcome: str, **fields: object) -> None:
        self._journal.note(Topic.STORE, peer=peer.name, outcome=outcome, **fields)
