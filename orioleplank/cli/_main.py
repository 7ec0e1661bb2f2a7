"""Parses the command line and runs the selected command."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from orioleplank._exceptions import OrioleplankError, SettingsError
from orioleplank.cli import (
    _call,
    _load,
    _logs,
    _objects,
    _placement,
    _report,
    _rollout,
    _run,
)
from orioleplank.cli._output import ExitCode, OutputFormat
from orioleplank.soak import add_arguments

DEFAULT_ADMIN_ADDRESS = "127.0.0.1:7403"
DEFAULT_CALLERS_ADDRESS = "127.0.0.1:7401"


def main(arguments: list[str] | None = None) -> int:
    """Run one command; return its exit code.

    0: done. 2: bad input. 3: the object was changed concurrently. 4: not reachable, or the outcome
    is unknown. 5: refused.
    """
    options = _build_parser().parse_args(arguments)
    try:
        return int(options.run(options))
    except SettingsError as error:
        print(error.detail, file=sys.stderr)
        return ExitCode.BAD_INPUT
    except OrioleplankError as error:
        print(error, file=sys.stderr)
        return ExitCode.UNAVAILABLE


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="orioleplank",
        description="A database proxy with session consistency.",
        epilog="Exit codes: 0 done, 2 bad input, 3 concurrent change, 4 not reachable, 5 refused.",
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_proxy_command(commands)
    _add_check_command(commands)
    _add_object_commands(commands)
    _add_operation_commands(commands)
    _add_report_command(commands)
    _add_call_command(commands)
    _add_placement_command(commands)
    _add_load_command(commands)
    _add_log_commands(commands)
    _add_standin_commands(commands)
    add_arguments(
        commands.add_parser(
            "soak", help="Inject random faults into real proxies and check the results."
        )
    )
    return parser


def _add_command(
    commands: argparse._SubParsersAction[argparse.ArgumentParser], name: str, description: str
) -> argparse.ArgumentParser:
    parser = commands.add_parser(name, help=description, description=description)
    parser.add_argument(
        "--output",
        type=OutputFormat,
        choices=list(OutputFormat),
        default=OutputFormat.TEXT,
        help="output format (default: text)",
    )
    return parser


def _add_admin_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--admin",
        default=DEFAULT_ADMIN_ADDRESS,
        metavar="HOST:PORT",
        help="admin address of a proxy",
    )


def _add_proxy_command(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    parser = _add_command(commands, "proxy", "Run a proxy until it is stopped.")
    parser.add_argument("--settings", type=Path, required=True, metavar="FILE")
    parser.set_defaults(run=_run.run_proxy_command)


def _add_check_command(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    parser = _add_command(commands, "check", "Check a settings file.")
    parser.add_argument("file", type=Path, metavar="FILE")
    parser.set_defaults(run=_run.check_command)


def _add_object_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    parser = _add_command(commands, "apply", "Apply services and presets from a YAML file.")
    parser.add_argument("file", type=Path, metavar="FILE")
    parser.add_argument("--author", required=True, help="who makes the change")
    parser.add_argument("--version", type=int, help="version to replace; 0 if it must not exist")
    _add_admin_option(parser)
    parser.set_defaults(run=_objects.apply_command)

    parser = _add_command(commands, "get", "Show objects and the author of their last change.")
    parser.add_argument("kind", nargs="?", help="service, preset, in-force, keepership, primary")
    parser.add_argument("name", nargs="?")
    _add_admin_option(parser)
    parser.set_defaults(run=_objects.get_command)

    parser = _add_command(commands, "preset", "Show the preset in force, or put one in force.")
    parser.add_argument("name", nargs="?")
    parser.add_argument("--author", default="", help="who makes the change")
    _add_admin_option(parser)
    parser.set_defaults(run=_objects.preset_command)


def _add_operation_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    parser = _add_command(commands, "status", "Show what a proxy knows.")
    _add_admin_option(parser)
    parser.set_defaults(run=_objects.status_command)
    for name, text in (
        ("drain", "Take a proxy out of service gracefully; the process stays."),
        ("stop", "Stop a proxy gracefully; the process ends."),
    ):
        parser = _add_command(commands, name, text)
        parser.add_argument("--grace", type=float, metavar="SECONDS")
        _add_admin_option(parser)
        parser.set_defaults(run=_objects.drain_command, order=name)


def _add_report_command(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    parser = _add_command(commands, "report", "Report on service-level burn over all proxies.")
    parser.add_argument(
        "--admin",
        action="append",
        metavar="HOST:PORT",
        help="admin address of a proxy; once for each",
    )
    parser.add_argument(
        "--html", type=Path, metavar="FILE", help="also write the report as an HTML page"
    )
    parser.set_defaults(run=_report.report_command)


def _add_call_command(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    parser = _add_command(commands, "call", "Send one request through a proxy.")
    parser.add_argument("--proxy", default=DEFAULT_CALLERS_ADDRESS, metavar="HOST:PORT")
    parser.add_argument("--service", required=True)
    parser.add_argument("--kind", required=True)
    parser.add_argument("--id", default="", help="request id (default: a new one)")
    parser.add_argument("--write", action="store_true", help="the statement changes data")
    parser.add_argument("--repeatable", action="store_true", help="the statement is idempotent")
    parser.add_argument("--outcome", action="store_true", help="ask for the outcome of --id")
    parser.add_argument(
        "--max-age", type=float, metavar="SECONDS", help="accept data up to this age"
    )
    parser.add_argument("--timeout", type=float, default=5.0, metavar="SECONDS")
    parser.add_argument("--token", default="", metavar="HEX", help="session token")
    parser.add_argument("sql", nargs="?", default="")
    parser.add_argument("args", nargs="*", help="arguments of the statement, as text")
    parser.set_defaults(run=_call.call_command)


def _add_placement_command(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    parser = _add_command(
        commands, "placement", "Show where a proxy would send a request now; nothing is sent."
    )
    parser.add_argument(
        "--metrics", required=True, metavar="HOST:PORT", help="metrics address of a proxy"
    )
    parser.add_argument("--database", required=True)
    parser.add_argument("--account", help="client account (default: a caller without one)")
    parser.add_argument(
        "--age", metavar="SECONDS", help="maximum age of the data (default: the route's)"
    )
    parser.add_argument("kind", help="read, write or read-only-transaction")
    parser.set_defaults(run=_placement.placement_command)


def _add_load_command(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    parser = _add_command(commands, "load", "Run a load experiment with faults at set times.")
    parser.add_argument("file", type=Path, metavar="FILE")
    parser.add_argument("--keep", type=Path, metavar="FILE", help="save the result as JSON")
    parser.add_argument("--compare", type=Path, metavar="FILE", help="compare with a saved result")
    parser.set_defaults(run=_load.load_command)


def _add_log_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    parser = _add_command(commands, "explain", "Explain from logs why a request was refused.")
    parser.add_argument("id", help="the request's id")
    parser.add_argument("logs", nargs="+", type=Path, metavar="LOG")
    parser.set_defaults(run=_logs.explain_command)

    parser = _add_command(
        commands, "timeline", "Show from logs how the proxies' cluster state changed."
    )
    parser.add_argument("logs", nargs="+", type=Path, metavar="LOG")
    parser.set_defaults(run=_logs.timeline_command)

    parser = _add_command(
        commands, "rollout", "Show from logs how versions of the configuration arrived."
    )
    parser.add_argument(
        "--version", type=int, help="show each arrival of this version (default: all, summed up)"
    )
    parser.add_argument("logs", nargs="+", type=Path, metavar="LOG")
    parser.set_defaults(run=_rollout.rollout_command)


def _add_standin_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    parser = commands.add_parser("standin", help="Run a stand-in for an external system.")
    kinds = parser.add_subparsers(required=True, metavar="KIND")
    platform = _add_command(kinds, "platform", "Run a stand-in for the platform.")
    platform.add_argument("--listen", required=True, metavar="HOST:PORT")
    platform.set_defaults(run=_run.platform_command)
    upstream = _add_command(kinds, "upstream", "Run a stand-in for an upstream instance.")
    upstream.add_argument("--name", required=True)
    upstream.add_argument("--listen", required=True, metavar="HOST:PORT")
    upstream.add_argument("--admin", required=True, metavar="HOST:PORT")
    upstream.add_argument("--slots", type=int, default=5)
    upstream.add_argument("--connections", type=int, default=30)
    upstream.add_argument("--connect-ms", type=float, default=12.0)
    upstream.add_argument("--service-ms", type=float, default=2.0)
    upstream.add_argument("--lag-ms", type=float, default=4.0)
    upstream.set_defaults(run=_run.upstream_command)
