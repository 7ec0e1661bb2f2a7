"""The kernel: starts services by name, schedules their mailboxes, stops them in reverse."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import Deferred, ensureDeferred

from orioleplank._exceptions import UnknownServiceNameError
from orioleplank.kernel._service import Service


class ReactorTime(Protocol):
    """The part of a reactor that tells and schedules time (Twisted's `IReactorTime`)."""

    def seconds(self) -> float:
        """Return a monotonic clock, in seconds."""

    def callLater(self, delay: float, callable: Callable[[], None]) -> object:  # noqa: N802
        """Make a call after `delay` seconds."""


FailureListener = Callable[[str, object, Exception], None]


class Kernel:
    """Services by name, on one reactor."""

    def __init__(self, reactor: ReactorTime, on_failure: FailureListener) -> None:
        self._reactor = reactor
        self._on_failure = on_failure
        self._services: dict[str, Service] = {}

    def add(self, service: Service) -> None:
        """Register a service; two of one name are a programming error."""
        if service.name in self._services:
            raise ValueError(f"two services are called {service.name}")
        service.kernel = self
        self._services[service.name] = service

    def get_service(self, name: str) -> Service:
        """Return the service called `name`; raise `UnknownServiceNameError` without one."""
        try:
            return self._services[name]
        except KeyError:
            raise UnknownServiceNameError(name) from None

    def now(self) -> float:
        """Return the reactor's monotonic clock, in seconds."""
        return self._reactor.seconds()

    def call_soon(self, call: Callable[[], None]) -> None:
        """Make a call in the reactor's next turn."""
        self._reactor.callLater(0, call)

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """Make a call after `delay` seconds; only the timer service uses it."""
        self._reactor.callLater(delay, call)

    def dispatch(self, service: Service, message: object) -> None:
        """Let a service take a message; an error in it is reported and ends nothing else."""
        try:
            service.receive(message)
        except Exception as error:
            self._on_failure(service.name, message, error)

    def start(self) -> None:
        """Start all services in the order in which they were added."""
        for service in self._services.values():
            service.start()

    def stop(self) -> Deferred[None]:
        """Stop all services in reverse order; errors of several are raised as one group."""
        return ensureDeferred(self._stop())

    async def _stop(self) -> None:
        errors: list[Exception] = []
        for service in reversed(self._services.values()):
            service.close_mailbox()
            try:
                await service.stop()
            except Exception as error:
                errors.append(error)
        if errors:
            raise ExceptionGroup("stop services", errors)
