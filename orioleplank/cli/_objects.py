"""Commands that call the admin API: `apply`, `get`, `preset`, `status`, `drain` and `stop`."""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import dataclass
from typing import Literal

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass as pydantic_dataclass

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


@pydantic_dataclass(frozen=True, config=ConfigDict(extra="ignore"))
class _Header:
    """Fields that every object in a file must have."""

    kind: Literal["service", "preset"]
    name: str


@dataclass(frozen=True, slots=True)
class _ObjectToApply:
    """A validated object of a file."""

    kind: str
    name: str
    spec: ServiceSpec | PresetSpec


def apply_command(options: argparse.Namespace) -> int:
    """Apply all objects of a file; when one is invalid, none is applied.

    Return the highest exit code of all updates.
    """
    objects = [_parse_object(document) for document in read_documents(options.file)]
    exit_code = ExitCode.DONE
    for item in objects:
        exit_code = max(exit_code, _put_object(options, item.kind, item.name, dump_spec(item.spec)))
    return exit_code


def _parse_object(document: Document) -> _ObjectToApply:
    header = validate_document(document, _Header)
    match header.kind:
        case "service":
            service = validate_document(document, ServiceSpec, ("spec",))
            return _ObjectToApply(header.kind, header.name, service)
        case "preset":
            preset = validate_document(document, PresetSpec, ("spec",))
            return _ObjectToApply(header.kind, header.name, preset)


def _put_object(options: argparse.Namespace, kind: str, name: str, spec: object) -> ExitCode:
    params = {"author": options.author}
    version = getattr(options, "version", None)
    if version is not None:
        params["version"] = str(version)
    response = call_admin(options.admin, "PUT", f"objects/{kind}/{name}", spec, **params)
    return _print_change_result(options, f"{kind}/{name}", response)


def _print_change_result(
    options: argparse.Namespace, key: str, response: AdminResponse
) -> ExitCode:
    match response.code:
        case 200:
            text = f"{key}: accepted as version {response.body['version']}"
            print_result(options.output, response.body, text)
            return ExitCode.DONE
        case 409:
            text = f"{key}: not changed; {response.body['by']} changed it to version"
            text += f" {response.body['version']} with change {response.body['standing_change']}"
            print_result(options.output, response.body, text)
            return ExitCode.CONFLICT
        case 400 | 413:
            print_result(options.output, response.body, f"{key}: {response.body.get('error', '')}")
            return ExitCode.BAD_INPUT
        case _:
            text = f"{key}: not applied; the platform gave no answer"
            print_result(options.output, response.body, text)
            return ExitCode.UNAVAILABLE


def get_command(options: argparse.Namespace) -> int:
    """Print one object, the objects of a kind, or all objects."""
    path = "/".join(part for part in ("objects", options.kind, options.name) if part)
    if options.kind and not options.name:
        path = "objects"
    response = call_admin(options.admin, "GET", path)
    if response.code != OK:
        print(response.body.get("error", ""), file=sys.stderr)
        return ExitCode.BAD_INPUT
    objects = response.body if isinstance(response.body, list) else [response.body]
    if options.kind:
        objects = [item for item in objects if item["kind"] == options.kind]
    lines = [
        f"{item['kind']}/{item['name']} version {item['version']} by {item['author']}"
        f"\n  {json.dumps(item['spec'])}"
        for item in objects
    ]
    print_result(options.output, objects, "\n".join(lines))
    return ExitCode.DONE


def preset_command(options: argparse.Namespace) -> int:
    """Print the preset in force or change it."""
    if options.name:
        if not options.author:
            print("--author NAME is required to change the preset in force", file=sys.stderr)
            return ExitCode.BAD_INPUT
        return _put_object(options, "in-force", IN_FORCE_NAME, dump_spec(InForceSpec(options.name)))
    response = call_admin(options.admin, "GET", f"objects/in-force/{IN_FORCE_NAME}")
    if response.code != OK:
        print_result(options.output, response.body, "no preset is in force")
        return ExitCode.DONE
    text = f"{response.body['spec']['preset']}, put in force by {response.body['author']}"
    print_result(options.output, response.body, text + f" with change {response.body['change']}")
    return ExitCode.DONE


def status_command(options: argparse.Namespace) -> int:
    """Print the cluster state that a proxy knows."""
    response = call_admin(options.admin, "GET", "status")
    body = response.body
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
            reachability = "" if state["reachable"] else ", not reachable"
            lines.append(
                f"    {instance}: {state['role']} at {state['position']},"
                f" {state['connections']} connections, {state['running']} running{reachability}"
            )
    print_result(options.output, body, "\n".join(lines))
    return ExitCode.DONE


def drain_command(options: argparse.Namespace) -> int:
    """Make a proxy drain or stop; `options.order` says which."""
    params = {} if options.grace is None else {"grace": str(options.grace)}
    response = call_admin(options.admin, "POST", options.order, {}, **params)
    print_result(options.output, response.body, f"{options.order}: asked")
    return ExitCode.DONE if response.code == OK else ExitCode.BAD_INPUT
