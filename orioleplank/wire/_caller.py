"""Decoding of requests and encoding of replies of the caller protocol."""

from __future__ import annotations

from types import MappingProxyType

from orioleplank._exceptions import MalformedRequestError
from orioleplank._protos import orioleplank_caller_pb2 as pb
from orioleplank._protos import orioleplank_common_pb2 as common
from orioleplank.decision.quorum import (
    Answer,
    CurrentFreshness,
    DidRun,
    Freshness,
    MaxAgeFreshness,
    Operation,
    Outcome,
    Person,
    Program,
    Refusal,
    Request,
    SessionFreshness,
)
from orioleplank.wire._token import decode_token, encode_token

_OPERATIONS = MappingProxyType(
    {
        pb.OPERATION_RUN: Operation.RUN,
        pb.OPERATION_BEGIN: Operation.BEGIN,
        pb.OPERATION_STEP: Operation.STEP,
        pb.OPERATION_COMMIT: Operation.COMMIT,
        pb.OPERATION_ROLLBACK: Operation.ROLLBACK,
        pb.OPERATION_OUTCOME: Operation.OUTCOME,
    }
)
_DID_RUN_VALUES = MappingProxyType({DidRun.NO: pb.DID_RUN_NO, DidRun.UNKNOWN: pb.DID_RUN_UNKNOWN})

MS_PER_S = 1000.0


def decode_request(message: pb.CallerRequest, now: float, default_timeout: float) -> Request:
    """Decode a request that arrived at `now`, in seconds of the proxy's clock.

    A read without a token in a session that is not new gets current data, because the log position
    that the session has already observed is unknown. `default_timeout` is in seconds. Raises
    `MalformedRequestError` or `MalformedTokenError`.
    """
    operation = _OPERATIONS.get(message.operation)
    if operation is None:
        raise MalformedRequestError(f"operation {message.operation} is not known")
    token = decode_token(message.token)
    timeout = message.timeout_ms / MS_PER_S if message.timeout_ms else default_timeout
    try:
        return Request(
            message.id,
            message.service,
            message.kind,
            operation,
            message.payload,
            message.write,
            message.repeatable,
            _decode_freshness(message),
            now + timeout,
            token,
            message.transaction,
            message.sent_before,
        )
    except ValueError as error:
        raise MalformedRequestError(str(error)) from error


def _decode_freshness(message: pb.CallerRequest) -> Freshness:
    if not message.token and not message.new_session:
        return CurrentFreshness()
    match message.freshness:
        case pb.FRESHNESS_SESSION:
            return SessionFreshness()
        case pb.FRESHNESS_MAX_AGE:
            return MaxAgeFreshness(message.max_age_ms / MS_PER_S)
        case pb.FRESHNESS_CURRENT:
            return CurrentFreshness()
        case unknown:
            raise MalformedRequestError(f"freshness {unknown} is not known")


def encode_reply(request_id: str, outcome: Outcome, move: bool) -> pb.CallerReply:
    """Encode the reply to a request; `move` asks the caller to reconnect to another proxy."""
    match outcome:
        case Answer():
            return pb.CallerReply(id=request_id, answer=_encode_answer(outcome), move=move)
        case Refusal():
            return pb.CallerReply(id=request_id, refusal=_encode_refusal(outcome), move=move)


def _encode_answer(answer: Answer) -> pb.Answer:
    return pb.Answer(
        result=answer.result,
        token=encode_token(answer.token),
        position=common.Position(term=answer.position.term, index=answer.position.index),
        instance=answer.instance,
        by_replica=answer.by_replica,
        repeated=answer.repeated,
    )


def _encode_refusal(refusal: Refusal) -> pb.Refusal:
    message = pb.Refusal(
        did_run=_DID_RUN_VALUES[refusal.did_run],
        reason=refusal.reason.value,
        retry_after_ms=round(refusal.retry_after * MS_PER_S),
        step=refusal.step,
        peer=refusal.peer,
        detail=refusal.detail,
    )
    match refusal.party:
        case Person(name, change_id, changed_at):
            message.person = name
            message.change_id = change_id
            message.changed_at = changed_at
        case Program(mechanism):
            message.mechanism = mechanism.value
    return message
