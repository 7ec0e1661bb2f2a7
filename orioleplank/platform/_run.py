"""Assembles a gateway with the platform's adapters and runs it."""

from __future__ import annotations

import signal
from collections.abc import Iterable
from typing import Any

from twisted.internet.defer import Deferred

from orioleplank._exceptions import SettingsError
from orioleplank._reactor import get_reactor
from orioleplank.decision.mechanisms import parse_switches
from orioleplank.gateway import (
    EventLog,
    EventType,
    Gateway,
    GatewayDependencies,
    GatewaySettings,
    HttpViewFetcher,
    Intake,
    LimitSide,
    Metrics,
    TcpChannelDialer,
    build_kernel,
    seconds_since_boot,
)
from orioleplank.platform._caller import CallerFactory
from orioleplank.platform._instance import InstanceDialer
from orioleplank.platform._promotions import PromotionClient
from orioleplank.platform._readiness import build_readiness_site
from orioleplank.platform._settings import load_settings
from orioleplank.platform._store import PlatformStore, StoreClient

# Maximum number of connections waiting to be accepted.
LISTEN_BACKLOG = 1024


def run_gateway(disabled_mechanisms: Iterable[str] = ()) -> None:
    """Run the gateway until a stop signal; raise `SettingsError` if its settings are invalid."""
    settings = load_settings(parse_switches(disabled_mechanisms))
    reactor = get_reactor()
    metrics = Metrics()
    event_log = EventLog(
        settings.name, seconds_since_boot, lambda event: metrics.events.increment(event)
    )
    gateway = _build_gateway(reactor, settings, event_log, metrics)
    kernel = build_kernel(reactor, gateway, event_log)
    _listen(reactor, settings, gateway)
    _handle_signals(reactor, gateway, event_log)
    kernel.start()
    reactor.run(installSignalHandlers=False)


def _build_gateway(
    reactor: Any, settings: GatewaySettings, event_log: EventLog, metrics: Metrics
) -> Gateway:
    def count_call(method: str, result: str) -> None:
        metrics.store_calls.increment(method, result)

    def log_unreadable(kind: str, name: str) -> None:
        event_log.log_event(EventType.UNREADABLE, kind=kind, object=name)

    def log_restore(previous: int, era: int) -> None:
        event_log.log_event(EventType.STORE, outcome="restored", before=previous, era=era)

    intake = Intake(settings.caller_limits, metrics.limits.increment, event_log.log_limit)
    client = StoreClient(reactor, settings.store_address, count_call, log_restore)
    dependencies = GatewayDependencies(
        PlatformStore(client, log_unreadable),
        InstanceDialer(reactor, intake),
        PromotionClient(reactor, settings.promotion_service_address, settings.name),
        HttpViewFetcher(reactor),
        TcpChannelDialer(reactor),
    )
    return Gateway(reactor, settings, dependencies, event_log, metrics, intake=intake)


def _listen(reactor: Any, settings: GatewaySettings, gateway: Gateway) -> None:
    callers = CallerFactory(gateway.sessions, reactor, gateway.intake)
    port = _listen_on(reactor, settings.caller_address, callers)
    callers.port = port
    gateway.stop_accepting = port.stopListening
    readiness = build_readiness_site(reactor, lambda: gateway.is_ready)
    readiness.guard = gateway.intake.build_peer_guard(LimitSide.HTTP)
    _listen_on(reactor, settings.readiness_address, readiness)


def _listen_on(reactor: Any, address: str, factory: Any) -> Any:
    host, _, port = address.rpartition(":")
    return reactor.listenTCP(int(port), factory, backlog=LISTEN_BACKLOG, interface=host)


def _handle_signals(reactor: Any, gateway: Gateway, event_log: EventLog) -> None:
    def handle_stop_signal(*_: object) -> None:
        reactor.callFromThread(begin_shutdown)

    def begin_shutdown() -> None:
        if gateway.is_stopping:
            return
        shutdown = Deferred.fromCoroutine(gateway.shut_down())
        shutdown.addBoth(lambda _: reactor.stop() if reactor.running else None)

    def handle_reload_signal(*_: object) -> None:
        reactor.callFromThread(check_settings)

    def check_settings() -> None:
        try:
            settings = load_settings()
        except SettingsError as error:
            event_log.log_event(EventType.ERROR, step="reload", detail=str(error))
            return
        event_log.log_event(
            EventType.RELOADED,
            store=settings.store_address,
            promotions=settings.promotion_service_address,
        )

    def install_handlers() -> None:
        signal.signal(signal.SIGTERM, handle_stop_signal)
        signal.signal(signal.SIGINT, handle_stop_signal)
        signal.signal(signal.SIGHUP, handle_reload_signal)

    reactor.callWhenRunning(install_handlers)
