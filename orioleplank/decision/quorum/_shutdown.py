"""Graceful shutdown: leave the balancer, finish what runs, then end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from automat import TypeMachineBuilder

QUIET_S = 0.5


class _Lifecycle(Protocol):
    """Inputs of a shutdown."""

    def request(self) -> None:
        """A stop is asked for."""

    def refuse(self) -> None:
        """The grace has passed."""

    def end(self) -> None:
        """Nothing is in progress any more."""

    def is_ready(self) -> bool:
        """Tell whether the balancer should send new callers."""

    def admits(self) -> bool:
        """Tell whether new requests are taken."""

    def is_ended(self) -> bool:
        """Tell whether the process should end."""


@dataclass(slots=True)
class _Core:
    """Nothing besides the state is kept."""


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
        state.upon(_Lifecycle.admits).loop().returns(state in (serving, draining))
        state.upon(_Lifecycle.is_ended).loop().returns(state is ended)
    return builder


_create_lifecycle = _build_lifecycle().build()


class Shutdown:
    """Where a proxy's shutdown stands.

    Requests that arrive while it drains are served until the grace has passed, because the
    balancer's view lags; callers are asked to move meanwhile. The process ends once nothing has
    been in progress for half a second.
    """

    def __init__(self) -> None:
        self._lifecycle = _create_lifecycle(_Core())
        self._refuse_at = 0.0
        self._quiet_since: float | None = None

    @property
    def is_ready(self) -> bool:
        """True when the balancer should send new callers."""
        return self._lifecycle.is_ready()

    @property
    def accepts_requests(self) -> bool:
        """True when new requests are taken."""
        return self._lifecycle.admits()

    @property
    def is_ended(self) -> bool:
        """True when the process should end."""
        return self._lifecycle.is_ended()

    def start_shutdown(self, now: float, grace: float) -> None:
        """Begin to stop; requests are refused `grace` seconds from now."""
        if self._lifecycle.is_ready():
            self._refuse_at = now + grace
        self._lifecycle.request()

    def record_activity(self) -> None:
        """Note that a request arrived."""
        self._quiet_since = None

    def tick(self, now: float, busy: bool) -> None:
        """Go on with the shutdown; `busy` tells whether anything is in progress."""
        if self._lifecycle.is_ready():
            return
        if now >= self._refuse_at:
            self._lifecycle.refuse()
        if busy:
            self._quiet_since = None
            return
        if self._quiet_since is None:
            self._quiet_since = now
        if now - self._quiet_since >= QUIET_S:
            self._lifecycle.end()
