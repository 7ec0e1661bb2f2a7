"""Runs a gateway on the platform."""

from __future__ import annotations

import signal
from typing import Any

from twisted.internet.defer import Deferred

from orioleplank._exceptions import SettingsError
from orioleplank._reactor import get_reactor
from orioleplank.gateway import (
    EventLog,
    EventType,
    Gateway,
    GatewayDependencies,
    GatewaySettings,
    HttpViewFetcher,
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

# Connections that wait to be accepted.
BACKLOG = 1024


def run_gateway() -> None:
    """Run until the platform asks the process to end; raise `SettingsError` before."""
    settings = load_settings()
    reactor = get_reactor()
    metrics = Metrics()
    journal = EventLog(
        settings.name, seconds_since_boot, lambda event: metrics.events.labels(event).inc()
    )
    gateway = _build_gateway(reactor, settings, journal, metrics)
    kernel = build_kernel(reactor, gateway, journal)
    _listen(reactor, settings, gateway)
    _handle_signals(reactor, gateway, journal)
    kernel.start()
    reactor.run(installSignalHandlers=False)


def _build_gateway(
    reactor: Any, settings: GatewaySettings, journal: EventLog, metrics: Metrics
) -> Gateway:
    def count_call(method: str, answer: str) -> None:
        metrics.store_calls.labels(method, answer).inc()

    def note_unreadable(kind: str, name: str) -> None:
        journal.log_event(EventType.UNREADABLE, kind=kind, object=name)

    outside = GatewayDependencies(
        PlatformStore(StoreClient(reactor, settings.store_address, count_call), note_unreadable),
        InstanceDialer(reactor),
        PromotionClient(reactor, settings.promotion_service_address, settings.name),
        HttpViewFetcher(reactor),
        TcpChannelDialer(reactor),
    )
    return Gateway(reactor, settings, outside, journal, metrics)


def _listen(reactor: Any, settings: GatewaySettings, gateway: Gateway) -> None:
    callers = CallerFactory(gateway.sessions, reactor)
    port = _listen_on(reactor, settings.caller_address, callers)
    gateway.stop_accepting = port.stopListening
    _listen_on(reactor, settings.readiness_address, build_readiness_site(lambda: gateway.is_ready))


def _listen_on(reactor: Any, address: str, factory: Any) -> Any:
    host, _, port = address.rpartition(":")
    return reactor.listenTCP(int(port), factory, backlog=BACKLOG, interface=host)


def _handle_signals(reactor: Any, gateway: Gateway, journal: EventLog) -> None:
    def end(*_: object) -> None:
        reactor.callFromThread(leave)

    def leave() -> None:
        leaving = Deferred.fromCoroutine(gateway.shut_down())
        leaving.addBoth(lambda _: reactor.stop() if reactor.running else None)

    def reload(*_: object) -> None:
        reactor.callFromThread(check)

    def check() -> None:
        try:
            settings = load_settings()
        except SettingsError as error:
            journal.log_event(EventType.ERROR, step="reload", detail=str(error))
            return
        journal.log_event(
            EventType.RELOADED,
            store=settings.store_address,
            promotions=settings.promotion_service_address,
        )

    def start() -> None:
        signal.signal(signal.SIGTERM, end)
        signal.signal(signal.SIGINT, end)
        signal.signal(signal.SIGHUP, reload)

    reactor.callWhenRunning(start)
