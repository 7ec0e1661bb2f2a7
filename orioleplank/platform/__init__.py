"""Adapter for the users' platform: its names, formats and calls, without decision logic.

The implementation of `run_on_platform` is imported on the call, because the reactor has to be
installed first.
"""

from __future__ import annotations

from collections.abc import Iterable


def run_on_platform(disabled_mechanisms: Iterable[str] = ()) -> None:
    """Run the proxy until it receives a stop signal; raise `SettingsError` for invalid settings.

    `disabled_mechanisms` are names of `orioleplank.decision.mechanisms.Mechanism`.
    """
    from orioleplank.platform._run import run_gateway

    run_gateway(disabled_mechanisms)


__all__ = ["run_on_platform"]
