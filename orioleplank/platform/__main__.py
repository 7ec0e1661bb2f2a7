"""Runs a proxy on the users' platform: `python -m orioleplank.platform`."""

import signal
import sys

from orioleplank._exceptions import SettingsError
from orioleplank.platform._imports import shorten_imports


def parse_options(arguments: list[str]) -> list[str]:
    """Return the names of the mechanisms to switch off; exit with code 2 for invalid arguments."""
    if not arguments:
        return []
    # Deployments pass no arguments, and a restart need not wait for this import.
    import argparse

    parser = argparse.ArgumentParser(prog="python -m orioleplank.platform", description=__doc__)
    parser.add_argument(
        "--without",
        action="append",
        default=[],
        metavar="MECHANISM",
        help="switch a mechanism off, for measurements; may be repeated (see docs/OPERATIONS.md)",
    )
    names: list[str] = parser.parse_args(arguments).without
    return names


def main() -> int:
    """Run the proxy until a stop signal; return the exit code, which is 2 for invalid settings."""
    disabled = parse_options(sys.argv[1:])
    # Without a handler, the reload signal would terminate the process. Ignoring it until then loses
    # nothing, because the settings are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    shorten_imports()
    from orioleplank._reactor import install_monotonic_reactor

    install_monotonic_reactor()
    from orioleplank.platform import run_on_platform

    try:
        run_on_platform(disabled)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
