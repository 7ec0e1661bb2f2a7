"""The `placement` command, which asks a gateway where a request would go now."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterator
from typing import Any

from orioleplank.cli._admin import call_admin_text
from orioleplank.cli._output import ExitCode, print_result

OK, BAD_REQUEST = 200, 400


def placement_command(options: argparse.Namespace) -> int:
    """Print the placement of a request; return `REFUSED` if it cannot be placed now."""
    parameters = {"kind": options.kind, "database": options.database}
    if options.account is not None:
        parameters["account"] = options.account
    if options.age is not None:
        parameters["age"] = options.age
    response = call_admin_text(options.metrics, "GET", "placement", **parameters)
    answer = _parse_object(response.body)
    if response.code == BAD_REQUEST and "error" in answer:
        print(answer["error"], file=sys.stderr)
        return ExitCode.BAD_INPUT
    if response.code != OK or "candidates" not in answer:
        print(f"{options.metrics} answers no placement queries", file=sys.stderr)
        return ExitCode.UNAVAILABLE
    print_result(options.output, answer, "\n".join(_describe(answer)))
    return ExitCode.REFUSED if answer["refusal"] else ExitCode.DONE


def _parse_object(text: str) -> dict[str, Any]:
    """Return a JSON object; empty for any other text, such as metrics of an older proxy."""
    try:
        value = json.loads(text)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def _describe(answer: dict[str, Any]) -> Iterator[str]:
    route, requirement, permits = answer["route"], answer["requirement"], answer["permits"]
    yield f"{answer['kind']} at proxy {answer['proxy']}"
    if route:
        yield (
            f"route {route['database']}: service {route['service']}, {route['consistency']}, "
            f"timeout {route['timeout']:g} s, priority {route['priority']}"
        )
    if answer["account"] is not None:
        yield f"account: {answer['account'] or 'none'}"
    if permits:
        held = permits["held"]
        yield f"unused permits here: {held}" + ("" if held else "; a coordinator is asked first")
    if requirement:
        position = requirement["min_position"] or "none known, only the primary may serve it"
        yield f"required position: {position}; maximum age {requirement['max_age']:g} s"
    for candidate in answer["candidates"]:
        yield _describe_candidate(candidate)
    yield from _describe_result(answer)


def _describe_candidate(candidate: dict[str, Any]) -> str:
    time = candidate["expected_time"]
    expected = f", expected time {time:.3f} s" if time is not None else ""
    return (
        f"candidate {candidate['instance']} ({candidate['zone']}): {candidate['reason']}{expected}"
    )


def _describe_result(answer: dict[str, Any]) -> Iterator[str]:
    refusal, connection = answer["refusal"], answer["connection"]
    if refusal:
        wait = "; a request would wait for an instance" if refusal["waits_for_instance"] else ""
        yield f"refused: {refusal['code']}, {refusal['detail']}{wait}"
        return
    wait = f" in {answer['wait']:.3f} s" if answer["wait"] else ""
    yield f"goes to {answer['instance']}{wait}"
    if connection["is_forwarded"]:
        yield f"through connection owner {connection['owner']}"
    else:
        yield "through connections of this proxy" if connection["owner"] else "no owner is usable"
    for queue in connection["queues"]:
        told = f", told {queue['age']:.1f} s ago" if queue["age"] else ""
        yield (
            f"queue at {queue['owner']}: {queue['waiting']} wait, {queue['running']} run, "
            f"expected wait {queue['expected_wait']:.3f} s{told}"
        )
    if connection["is_queue_too_long"]:
        yield "the queue at this proxy is too long for the time left"
    if connection["is_suspect"]:
        yield "the instance did not answer this proxy; only probes are sent to it"
