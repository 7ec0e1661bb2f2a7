"""The users' platform: its names, formats and calls, and nothing that decides.

`run_on_platform` is found late, because the reactor has to be installed before.
"""

from __future__ import annotations


def run_on_platform() -> None:
    """Run until the platform asks the process to end; raise `SettingsError` before."""
    from orioleplank.platform._run import run_gateway

    run_gateway()


__all__ = ["run_on_platform"]
