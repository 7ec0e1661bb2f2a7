"""Commands on a proxy's objects, status and shutdown."""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import dataclass
from typing import Literal

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass as checked

from orioleplank.cli._admin import AdminResponse, call_admin
from orioleplank.cli._output import ExitCode, print_result
from orioleplank.decision.quorum import (
    IN_FORCE_NAME,
    InForceSpec,
    PresetSpec,
    ServiceSpec,
    dump_spec,
)
from orioleplank.settings import Document, read_documents, validate_document

OK, CONFLICT = 200, 409


@checked(frozen=True, config=ConfigDict(extra="ignore"))
class _Header:
    """What every object in a file names."""

    # Kind of the object.
    kind: Literal["service", "preset"]
    # Name of the object.
    name: str


@dataclass(frozen=True, slots=True)
class _Change:
    """An object to apply."""

    # Kind of the object.
    kind: str
    # Name of the object.
    name: str
    # Its content.
    spec: ServiceSpec | PresetSpec


def apply_command(options: argparse.Namespace) -> int:
    """Apply all objects of a file; nothing is applied when one is not valid."""
    changes = [_read_change(document) for document in read_documents(options.file)]
    worst = ExitCode.DONE
    for change in changes:
        worst = max(worst, _put(options, change.kind, change.name, dump_spec(change.spec)))
    return worst


def _read_change(document: Document) -> _Change:
    header = validate_document(document, _Header)
    match header.kind:
        case "service":
            service = validate_document(document, ServiceSpec, ("spec",))
            return _Change(header.kind, header.name, service)
        case "preset":
            preset = validate_document(document, PresetSpec, ("spec",))
            return _Change(header.kind, header.name, preset)


def _put(options: argparse.Namespace, kind: str, name: str, spec: object) -> ExitCode:
    params = {"author": options.author}
    version = getattr(options, "version", None)
    if version is not None:
        params["version"] = str(version)
    answer = call_admin(options.admin, "PUT", f"objects/{kind}/{name}", spec, **params)
    return _show_change(options, f"{kind}/{name}", answer)


def _show_change(options: argparse.Namespace, key: str, answer: AdminResponse) -> ExitCode:
    match answer.code:
        case 200:
            text = f"{key}: accepted as version {answer.body['version']}"
            print_result(options.output, answer.body, text)
            return ExitCode.DONE
        case 409:
            text = f"{key}: not changed; {answer.body['by']} changed it to version"
            text += f" {answer.body['version']} with change {answer.body['standing_change']}"
            print_result(options.output, answer.body, text)
            return ExitCode.CONFLICT
        case 400 | 413:
            print_result(options.output, answer.body, f"{key}: {answer.body.get('error', '')}")
            return ExitCode.BAD_INPUT
        case _:
            text = f"{key}: not applied; the platform gave no answer"
            print_result(options.output, answer.body, text)
            return ExitCode.UNAVAILABLE


def get_command(options: argparse.Namespace) -> int:
    """Show objects."""
    path = "/".join(part for part in ("objects", options.kind, options.name) if part)
    if options.kind and not options.name:
        path = "objects"
    answer = call_admin(options.admin, "GET", path)
    if answer.code != OK:
        print(answer.body.get("error", ""), file=sys.stderr)
        return ExitCode.BAD_INPUT
    shown = answer.body if isinstance(answer.body, list) else [answer.body]
    if options.kind:
        shown = [item for item in shown if item["kind"] == options.kind]
    lines = [
        f"{item['kind']}/{item['name']} version {item['version']} by {item['author']}"
        f"\n  {json.dumps(item['spec'])}"
        for item in shown
    ]
    print_result(options.output, shown, "\n".join(lines))
    return ExitCode.DONE


def preset_command(options: argparse.Namespace) -> int:
    """Show or change the preset in force."""
    if options.name:
        if not options.author:
            print("a change names its author: --author NAME", file=sys.stderr)
            return ExitCode.BAD_INPUT
        return _put(options, "in-force", IN_FORCE_NAME, dump_spec(InForceSpec(options.name)))
    answer = call_admin(options.admin, "GET", f"objects/in-force/{IN_FORCE_NAME}")
    if answer.code != OK:
        print_result(options.output, answer.body, "no preset is in force")
        return ExitCode.DONE
    text = f"{answer.body['spec']['preset']}, put in force by {answer.body['author']}"
    print_result(options.output, answer.body, text + f" with change {answer.body['change']}")
    return ExitCode.DONE


def status_command(options: argparse.Namespace) -> int:
    """Show what a proxy knows."""
    answer = call_admin(options.admin, "GET", "status")
    body = answer.body
    lines = [
        f"proxy {body['proxy']} in {body['zone']}: {'ready' if body['ready'] else 'not ready'},"
        f" revision {body['revision']}, with {', '.join(body['alive'])}"
    ]
    for name, service in body["services"].items():
        lines.append(
            f"  {name}: primary {service['primary'] or 'none'} of term {service['term']},"
            f" safe to {service['committed']}, {service['queued']} waiting"
        )
        for instance, state in service["instances"].items():
            reach = "" if state["reachable"] else ", not reachable"
            lines.append(
                f"    {instance}: {state['role']} at {state['position']},"
                f" {state['connections']} connections, {state['running']} running{reach}"
            )
    print_result(options.output, body, "\n".join(lines))
    return ExitCode.DONE


def drain_command(options: argparse.Namespace) -> int:
    """Ask a proxy to stop or drain."""
    params = {} if options.grace is None else {"grace": str(options.grace)}
    answer = call_admin(options.admin, "POST", options.order, {}, **params)
    print_result(options.output, answer.body, f"{options.order}: asked")
    return ExitCode.DONE if answer.code == OK else ExitCode.BAD_INPUT
