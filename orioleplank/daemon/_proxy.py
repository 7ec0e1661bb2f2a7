"""Creates the services of a proxy and runs them in this process."""

from __future__ import annotations

import uuid
from traceback import format_exception
from zlib import crc32

from orioleplank._reactor import get_reactor
from orioleplank.daemon._admin import AdminServer
from orioleplank.daemon._asyncio_reactor import run_with_asyncio_reactor
from orioleplank.daemon._burn_rate import burn_rate_counts_to_json
from orioleplank.daemon._callers import CallerServer
from orioleplank.daemon._decisions import DecisionService
from orioleplank.daemon._events import EventLog
from orioleplank.daemon._message import ShutdownRequest
from orioleplank.daemon._peers import PeerTransport
from orioleplank.daemon._platform import PlatformClient
from orioleplank.daemon._upstreams import UpstreamManager
from orioleplank.decision.quorum import Event, LogEvent, Proxy, ProxyIdentity
from orioleplank.kernel import Kernel, Timer
from orioleplank.settings import Settings


class _Daemon:
    """Runs one proxy in this process; `start` must be called before `stop` has any effect."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._decisions: DecisionService | None = None

    async def start(self) -> None:
        """Create and start all services under a new incarnation."""
        reactor = get_reactor()
        settings = self._settings
        incarnation = f"{settings.proxy.name}-{uuid.uuid4().hex[:12]}"
        identity = ProxyIdentity(
            settings.proxy.name,
            incarnation,
            settings.proxy.zone,
            crc32(incarnation.encode()),
        )
        proxy = Proxy(identity)

        def stop_reactor() -> None:
            reactor.stop()

        def stop_services() -> None:
            kernel.stop().addBoth(lambda _: stop_reactor())

        events = EventLog(settings.proxy.name, settings.log.level, stop_services)

        def log_internal_error(service: str, message: object, error: Exception) -> None:
            detail = "".join(format_exception(error))
            events.log(LogEvent(Event.INTERNAL_ERROR, type(message).__name__, service, detail))

        kernel = Kernel(reactor, log_internal_error)
        self._decisions = DecisionService(proxy, settings.stop.grace)
        kernel.add(Timer())
        kernel.add(events)
        kernel.add(UpstreamManager())
        kernel.add(self._decisions)
        kernel.add(PlatformClient(settings.platform))
        kernel.add(PeerTransport(identity, settings.proxy.peers))
        kernel.add(CallerServer(settings.proxy.callers, settings.limits))
        kernel.add(
            AdminServer(
                settings.proxy.admin,
                events.metrics.registry,
                lambda: proxy.is_ready,
                lambda site, host, port: reactor.listenTCP(port, site, interface=host),
                lambda: burn_rate_counts_to_json(events.burn_rate_counts, kernel.now()),
            )
        )
        kernel.start()
        events.log(LogEvent(Event.STARTED, "start", detail=f"run {incarnation}"))

    def stop(self) -> None:
        """Begin a graceful shutdown that ends the process."""
        if self._decisions is not None:
            self._decisions.post(ShutdownRequest(exit_process=True))


def run_proxy(settings: Settings) -> None:
    """Run a proxy until it has shut down, after SIGTERM, SIGINT or a request to the admin API."""
    daemon = _Daemon(settings)
    run_with_asyncio_reactor(daemon.start, daemon.stop)
