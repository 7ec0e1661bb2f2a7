"""What the store says, passed on to a proxy that the store does not answer.

The receiver dates what it gets by when it asked, less the age that the sender states; so it never
counts as younger than it is.
"""

from __future__ import annotations

from random import Random

from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from orioleplank.decision.membership import ProxyRecord
from orioleplank.gateway._beliefs import Beliefs
from orioleplank.gateway._journal import Journal, Topic
from orioleplank.gateway._registry import Registry
from orioleplank.gateway._views import PATH, StoreView, Views, ViewUnavailableError, dump_view

# A listing older than this gives hardly a lease any more, in seconds; nobody passes it on.
OLDEST_S = 8.0


class Relay(Resource):
    """Serves this proxy's view, and asks others for theirs."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        beliefs: Beliefs,
        registry: Registry,
        journal: Journal,
        me: str,
        random: Random,
        views: Views,
    ) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._views = views
        self._beliefs = beliefs
        self._registry = registry
        self._journal = journal
        self._me = me
        self._random = random
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
        return dump_view(view)

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
            view = await self._views.fetch(peer.address)
        except ViewUnavailableError as error:
            self._note(peer, "no view", why=error.detail)
            return
        finally:
            self._is_asking = False
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

    def _note(self, peer: ProxyRecord, outcome: str, **fields: object) -> None:
        self._journal.note(Topic.STORE, peer=peer.name, outcome=outcome, **fields)
