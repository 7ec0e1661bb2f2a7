"""The `call` command, which sends one request to a proxy."""

from __future__ import annotations

import argparse
import sys
import uuid
from collections.abc import Iterator

import grpc

from orioleplank._protos import orioleplank_caller_pb2 as pb
from orioleplank._protos import orioleplank_caller_pb2_grpc as rpc
from orioleplank.cli._output import ExitCode, print_result
from orioleplank.client import make_payload, make_query, read_rows

MS_PER_S = 1000
# Added to the request's timeout, so that the proxy can still report that it expired.
TIMEOUT_MARGIN_S = 2.0


def call_command(options: argparse.Namespace) -> int:
    """Send one request and print its reply."""
    if not options.sql and not options.outcome:
        print("either a statement or --outcome is required", file=sys.stderr)
        return ExitCode.BAD_INPUT
    try:
        request = _build_request(options)
    except ValueError as error:
        print(f"--token is not hexadecimal: {error}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    try:
        reply = _send_request(options.proxy, request, options.timeout + TIMEOUT_MARGIN_S)
    except (grpc.RpcError, StopIteration) as error:
        print(f"no reply from {options.proxy} to request {request.id}: {error}", file=sys.stderr)
        return ExitCode.UNAVAILABLE
    if reply.WhichOneof("outcome") == "answer":
        return _print_answer(options, reply)
    return _print_refusal(options, reply)


def _build_request(options: argparse.Namespace) -> pb.CallerRequest:
    token = bytes.fromhex(options.token)
    payload = make_payload(make_query(options.sql, *options.args)) if options.sql else b""
    request = pb.CallerRequest(
        id=options.id or uuid.uuid4().hex,
        service=options.service,
        kind=options.kind,
        payload=payload,
        write=options.write,
        repeatable=options.repeatable,
        timeout_ms=round(options.timeout * MS_PER_S),
        token=token,
        new_session=not token,
        freshness=pb.FRESHNESS_CURRENT if not token else pb.FRESHNESS_SESSION,
    )
    if options.outcome:
        request.operation = pb.OPERATION_OUTCOME
    if options.max_age is not None:
        request.freshness = pb.FRESHNESS_MAX_AGE
        request.max_age_ms = round(options.max_age * MS_PER_S)
    return request


def _send_request(address: str, request: pb.CallerRequest, timeout_s: float) -> pb.CallerReply:
    with grpc.insecure_channel(address) as channel:

        def requests() -> Iterator[pb.CallerRequest]:
            yield request

        reply: pb.CallerReply = next(rpc.CallerStub(channel).Session(requests(), timeout=timeout_s))
        return reply


def _print_answer(options: argparse.Namespace, reply: pb.CallerReply) -> int:
    answer = reply.answer
    row_sets = read_rows(answer.result)
    fields = {
        "id": reply.id,
        "rows": [
            [[_to_json_value(value) for value in row] for row in row_set] for row_set in row_sets
        ],
        "token": answer.token.hex(),
        "position": f"{answer.position.term}.{answer.position.index}",
        "instance": answer.instance,
        "by_replica": answer.by_replica,
        "repeated": answer.repeated,
    }
    lines = ["\t".join(str(value) for value in row) for row_set in row_sets for row in row_set]
    role = "replica" if answer.by_replica else "primary"
    lines.append(f"answered by {role} {answer.instance} at {fields['position']}")
    lines.append(f"token {fields['token']}")
    print_result(options.output, fields, "\n".join(lines))
    return ExitCode.DONE


def _to_json_value(value: object) -> object:
    return value.hex() if isinstance(value, bytes) else value


def _print_refusal(options: argparse.Namespace, reply: pb.CallerReply) -> int:
    refusal = reply.refusal
    execution = "did not run" if refusal.did_run == pb.DID_RUN_NO else "may have run"
    party = f"person {refusal.person}" if refusal.person else f"program ({refusal.mechanism})"
    fields = {
        "id": reply.id,
        "did_run": "no" if refusal.did_run == pb.DID_RUN_NO else "unknown",
        "reason": refusal.reason,
        "person": refusal.person,
        "change": refusal.change_id,
        "mechanism": refusal.mechanism,
        "retry_after_ms": refusal.retry_after_ms,
        "step": refusal.step,
        "peer": refusal.peer,
        "detail": refusal.detail,
    }
    text = f"refused by a {party}: {refusal.reason}; it {execution}; {refusal.detail}"
    print_result(options.output, fields, text)
    return ExitCode.REFUSED
