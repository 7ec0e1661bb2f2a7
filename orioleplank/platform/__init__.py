"""Adapter for the users' platform: its names, formats and calls, without decision logic.

The implementation of `run_on_platform` is imported on the call, because the reactor has to be
installed first.
"""

from __future__ import annotations


def run_on_platform() -> None:
    """Run the proxy until it receives a stop signal; raise `SettingsError` for invalid settings."""
    from orioleplank.platform._run import run_gateway

    run_gateway()


__all__ = ["run_on_platform"]
