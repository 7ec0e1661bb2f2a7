"""The kernel: starts services, schedules their message delivery, stops them in reverse order."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import Deferred, ensureDeferred

from orioleplank._exceptions import UnknownServiceNameError
from orioleplank.kernel._service import Service


class ReactorTime(Protocol):
    """The subset of Twisted's `IReactorTime` that the kernel uses."""

    def seconds(self) -> float:
        """Return the monotonic time in seconds."""

    def callLater(self, delay: float, callable: Callable[[], None]) -> object:  # noqa: N802
        """Schedule a call in `delay` seconds."""


# Called with the service name, the message and the exception when handling a message fails.
FailureListener = Callable[[str, object, Exception], None]


class Kernel:
    """Registry of named services that run on one reactor."""

    def __init__(self, reactor: ReactorTime, on_failure: FailureListener) -> None:
        self._reactor = reactor
        self._on_failure = on_failure
        self._services: dict[str, Service] = {}

    def add(self, service: Service) -> None:
        """Register a service; raise `ValueError` if the name is already in use."""
        if service.name in self._services:
            raise ValueError(f"duplicate service name: {service.name}")
        service.kernel = self
        self._services[service.name] = service

    def get_service(self, name: str) -> Service:
        """Return the service called `name`; raise `UnknownServiceNameError` if there is none."""
        try:
            return self._services[name]
        except KeyError:
            raise UnknownServiceNameError(name) from None

    def now(self) -> float:
        """Return the reactor's monotonic time in seconds."""
        return self._reactor.seconds()

    def call_soon(self, call: Callable[[], None]) -> None:
        """Schedule a call in the next iteration of the reactor."""
        self._reactor.callLater(0, call)

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call in `delay` seconds; only the timer service uses this."""
        self._reactor.callLater(delay, call)

    def dispatch(self, service: Service, message: object) -> None:
        """Deliver a message to a service; an exception is passed to `on_failure` and not raised."""
        try:
            service.receive(message)
        except Exception as error:
            self._on_failure(service.name, message, error)

    def start(self) -> None:
        """Start all services in registration order."""
        for service in self._services.values():
            service.start()

    def stop(self) -> Deferred[None]:
        """Stop all services in reverse registration order.

        Every service is stopped even if others fail; the errors are raised as an `ExceptionGroup`.
        """
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
