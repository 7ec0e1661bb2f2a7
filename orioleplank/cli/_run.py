"""Commands that run a proxy or a stand-in, and the `check` command."""

from __future__ import annotations

import argparse
import os

from orioleplank.cli._output import ExitCode, print_result
from orioleplank.daemon import run_proxy, run_with_asyncio_reactor
from orioleplank.settings import load_settings


def run_proxy_command(options: argparse.Namespace) -> int:
    """Run a proxy until it has shut down."""
    run_proxy(load_settings(options.settings))
    return ExitCode.DONE


def check_command(options: argparse.Namespace) -> int:
    """Load a settings file and print that it is valid; otherwise `SettingsError` is raised."""
    settings = load_settings(options.file)
    shown = {"file": str(options.file), "proxy": settings.proxy.name, "valid": True}
    print_result(
        options.output, shown, f"{options.file}: valid settings of proxy {settings.proxy.name}"
    )
    return ExitCode.DONE


def platform_command(options: argparse.Namespace) -> int:
    """Run a stand-in for the platform until SIGTERM or SIGINT."""

    async def main() -> None:
        from orioleplank.standin import run_platform

        await run_platform(options.listen)

    run_with_asyncio_reactor(main, _exit_immediately)
    return ExitCode.DONE


def upstream_command(options: argparse.Namespace) -> int:
    """Run a stand-in for an upstream instance until SIGTERM or SIGINT."""

    async def main() -> None:
        from orioleplank.standin import UpstreamOptions, run_upstream

        await run_upstream(
            UpstreamOptions(
                options.name,
                options.listen,
                options.admin,
                options.slots,
                options.connections,
                options.connect_ms / 1000,
                options.service_ms / 1000,
                options.lag_ms / 1000,
            )
        )

    run_with_asyncio_reactor(main, _exit_immediately)
    return ExitCode.DONE


def _exit_immediately() -> None:
    os._exit(0)
