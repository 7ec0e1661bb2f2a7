"""Commands that run a process, and the check of settings."""

from __future__ import annotations

import argparse
import os

from orioleplank.cli._output import ExitCode, print_result
from orioleplank.daemon import run_proxy, run_with_asyncio_reactor
from orioleplank.settings import load_settings


def run_proxy_command(options: argparse.Namespace) -> int:
    """Run a proxy."""
    run_proxy(load_settings(options.settings))
    return ExitCode.DONE


def check_command(options: argparse.Namespace) -> int:
    """Check a settings file."""
    settings = load_settings(options.file)
    shown = {"file": str(options.file), "proxy": settings.proxy.name, "valid": True}
    print_result(
        options.output, shown, f"{options.file}: valid settings of proxy {settings.proxy.name}"
    )
    return ExitCode.DONE


def platform_command(options: argparse.Namespace) -> int:
    """Run a stand-in platform."""

    async def main() -> None:
        from orioleplank.standin import run_platform

        await run_platform(options.listen)

    run_with_asyncio_reactor(main, _end)
    return ExitCode.DONE


def upstream_command(options: argparse.Namespace) -> int:
    """Run a stand-in upstream instance."""

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

    run_with_asyncio_reactor(main, _end)
    return ExitCode.DONE


def _end() -> None:
    os._exit(0)
