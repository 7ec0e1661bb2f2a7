"""Graceful shutdown: leave the load balancer, finish requests in progress, then end the process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from automat import TypeMachineBuilder

# The process ends after this long without a request or transaction in progress.
QUIET_PERIOD_S = 0.5


class _Lifecycle(Protocol):
    """Inputs of the shutdown state machine."""

    def request(self) -> None:
        """Shutdown was requested."""

    def refuse(self) -> None:
        """The grace period has ended."""

    def end(self) -> None:
        """No request or transaction is in progress any longer."""

    def is_ready(self) -> bool:
        """Return whether the load balancer may route new callers to this proxy."""

    def accepts_requests(self) -> bool:
        """Return whether new requests are accepted."""

    def is_ended(self) -> bool:
        """Return whether the process should end."""


@dataclass(slots=True)
class _Core:
    """The state machine has no data besides its state."""


def _build_lifecycle() -> TypeMachineBuilder[_Lifecycle, _Core]:
    builder = TypeMachineBuilder(_Lifecycle, _Core)
    serving = builder.state("serving")
    draining = builder.state("draining")
    refusing = builder.state("refusing")
    ended = builder.state("ended")

    serving.upon(_Lifecycle.request).to(draining).returns(None)
    draining.upon(_Lifecycle.refuse).to(refusing).returns(None)
    draining.upon(_Lifecycle.end).to(ended).returns(None)
    refusing.upon(_Lifecycle.end).to(ended).returns(None)
    for state in (draining, refusing, ended):
        state.upon(_Lifecycle.request).loop().returns(None)
    for state in (serving, refusing, ended):
        state.upon(_Lifecycle.refuse).loop().returns(None)
    for state in (serving, ended):
        state.upon(_Lifecycle.end).loop().returns(None)
    for state in (serving, draining, refusing, ended):
        state.upon(_Lifecycle.is_ready).loop().returns(state is serving)
        state.upon(_Lifecycle.accepts_requests).loop().returns(state in (serving, draining))
        state.upon(_Lifecycle.is_ended).loop().returns(state is ended)
    return builder


_create_lifecycle = _build_lifecycle().build()


class Shutdown:
    """Progress of the shutdown of a proxy.

    Requests that arrive while the proxy drains are served until the grace period has ended, because
    the load balancer notices the change late; meanwhile callers are asked to reconnect. The process
    ends once nothing has been in progress for `QUIET_PERIOD_S`.
    """

    def __init__(self) -> None:
        self._lifecycle = _create_lifecycle(_Core())
        self._refuse_at = 0.0
        self._idle_since: float | None = None

    @property
    def is_ready(self) -> bool:
        """True until shutdown starts: the load balancer may route new callers to this proxy."""
        return self._lifecycle.is_ready()

    @property
    def accepts_requests(self) -> bool:
        """True when new requests are accepted: before shutdown and during its grace period."""
        return self._lifecycle.accepts_requests()

    @property
    def is_ended(self) -> bool:
        """True when the process should end."""
        return self._lifecycle.is_ended()

    def start_shutdown(self, now: float, grace: float) -> None:
        """Start the shutdown; new requests are refused after `grace` seconds.

        A second call does not change the grace period.
        """
        if self._lifecycle.is_ready():
            self._refuse_at = now + grace
        self._lifecycle.request()

    def record_activity(self) -> None:
        """Restart the quiet period, because a request arrived."""
        self._idle_since = None

    def tick(self, now: float, busy: bool) -> None:
        """Advance the shutdown; `busy` is True while a request or transaction is in progress."""
        if self._lifecycle.is_ready():
            return
        if now >= self._refuse_at:
            self._lifecycle.refuse()
        if busy:
            self._idle_since = None
            return
        if self._idle_since is None:
            self._idle_since = now
        if now - self._idle_since >= QUIET_PERIOD_S:
            self._lifecycle.end()
