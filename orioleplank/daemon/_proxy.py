"""Builds the proxy's services and runs them."""

from __future__ import annotations

import uuid
from traceback import format_exception
from zlib import crc32

from orioleplank._reactor import find_reactor
from orioleplank.daemon._admin import Admin
from orioleplank.daemon._burn import describe_burn
from orioleplank.daemon._callers import Callers
from orioleplank.daemon._decisions import Decisions
from orioleplank.daemon._events import Events
from orioleplank.daemon._message import DrainWanted
from orioleplank.daemon._peers import Peers
from orioleplank.daemon._platform import Platform
from orioleplank.daemon._reactor import run_with_reactor
from orioleplank.daemon._upstreams import Upstreams
from orioleplank.decision.quorum import Event, Identity, Note, Proxy
from orioleplank.kernel import Kernel, Timer
from orioleplank.settings import Settings


class _Daemon:
    """One proxy in this process."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._decisions: Decisions | None = None

    async def start(self) -> None:
        """Start all services."""
        reactor = find_reactor()
        settings = self._settings
        incarnation = f"{settings.proxy.name}-{uuid.uuid4().hex[:12]}"
        identity = Identity(
            settings.proxy.name,
            incarnation,
            settings.proxy.zone,
            crc32(incarnation.encode()),
        )
        proxy = Proxy(identity)

        def finish() -> None:
            reactor.stop()

        def end() -> None:
            kernel.stop().addBoth(lambda _: finish())

        events = Events(settings.proxy.name, settings.log.level, end)

        def report(service: str, message: object, error: Exception) -> None:
            detail = "".join(format_exception(error))
            events.log(Note(Event.INTERNAL_ERROR, type(message).__name__, service, detail))

        kernel = Kernel(reactor, report)
        self._decisions = Decisions(proxy, settings.stop.grace)
        kernel.add(Timer())
        kernel.add(events)
        kernel.add(Upstreams())
        kernel.add(self._decisions)
        kernel.add(Platform(settings.platform))
        kernel.add(Peers(identity, settings.proxy.peers))
        kernel.add(Callers(settings.proxy.callers, settings.limits))
        kernel.add(
            Admin(
                settings.proxy.admin,
                events.metrics.registry,
                lambda: proxy.is_ready,
                lambda site, host, port: reactor.listenTCP(port, site, interface=host),
                lambda: describe_burn(events.burn, kernel.now()),
            )
        )
        kernel.start()
        events.log(Note(Event.STARTED, "start", detail=f"run {incarnation}"))

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        if self._decisions is not None:
            self._decisions.tell(DrainWanted(end=True))


def run_proxy(settings: Settings) -> None:
    """Run a proxy until it has stopped gracefully."""
    daemon = _Daemon(settings)
    run_with_reactor(daemon.start, daemon.stop)
