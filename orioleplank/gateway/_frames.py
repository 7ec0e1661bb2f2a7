"""Frames between a proxy and a connection owner, encoded in MessagePack.

They are encoded as arrays to keep them small, since in a large fleet each statement crosses zones
in a frame. `link_id` identifies a logical connection to an instance within a channel;
`correlation_id` matches a response to its request.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec.structs import replace

from orioleplank.decision import Position
from orioleplank.decision.failover import InstanceReport
from orioleplank.decision.instances import DbRole
from orioleplank.decision.session import (
    AccessMode,
    ExecutableStatement,
    ExecutePrepared,
    Failure,
    FailureCode,
    PreparedStatement,
    Read,
    Reply,
    TransactionState,
    Write,
)

# Largest frame, in bytes: the largest caller message plus the other fields of the frame.
MAX_FRAME_BYTES = 2 * 1024 * 1024

# Load of the owner's connections to the instance: the number of requests that wait, the number of
# statements in progress, the limit on them, and the expected wait in milliseconds.
LoadFields = tuple[int, int, int, int]


class Frame(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all frames; the class name is the tag that identifies a frame's type."""


class InstanceRequest(Frame, frozen=True):
    """Common fields of requests that need a connection: its required state, and the timeout."""

    link_id: int
    correlation_id: int
    instance: str
    # Priority of the route; 0 is the highest.
    priority: int
    # Seconds until the deadline of the request.
    timeout: float
    # Values that the session has set.
    values: dict[str, str]
    # Term and index of the log position that the instance must have reached; None for any.
    min_position: tuple[int, int] | None


class RunAsked(InstanceRequest, frozen=True):
    """Requests to run a statement under the caller's request id."""

    request_id: str
    mode: AccessMode
    # Text of the prepared statement to execute; None for a statement that is not prepared.
    prepared_text: str | None
    # Text after the verb or the prepared name, unchanged.
    arguments: str
    # True if it belongs to the open transaction of the link.
    in_transaction: bool
    # Name and priority of the caller's account; the name is empty without an account.
    account: str = ""
    account_priority: int = 0


class BeginAsked(InstanceRequest, frozen=True):
    """Requests to begin a transaction; the link keeps its connection until the transaction ends."""

    read_only: bool
    # Name and priority of the caller's account; the name is empty without an account.
    account: str = ""
    account_priority: int = 0


class CommitAsked(Frame, frozen=True):
    """Requests to commit under the caller's request id; `timeout` is in seconds."""

    link_id: int
    correlation_id: int
    request_id: str
    timeout: float


class RollBackAsked(Frame, frozen=True):
    """Requests to roll back the transaction of a link."""

    link_id: int
    correlation_id: int


class LinkClosed(Frame, frozen=True):
    """Notice that a link is abandoned: its wait ends, and its transaction is rolled back."""

    link_id: int


class ReportAsked(Frame, frozen=True):
    """Requests the state of an instance."""

    correlation_id: int
    instance: str


class StepDownAsked(Frame, frozen=True):
    """Requests to demote an instance to a replica if it is the primary of a lower term."""

    correlation_id: int
    instance: str
    term: int


class Answered(Frame, frozen=True):
    """The reply of an instance."""

    correlation_id: int
    rows: tuple[str, ...]
    signature: str
    # Code and detail of a failure; None on success.
    failure: tuple[FailureCode, str] | None
    state: TransactionState
    position: tuple[int, int] | None
    # Seconds after which a retry may succeed; None if unknown, and in frames of older versions.
    retry_after: float | None = None
    # Load of the owner; None in frames of older versions.
    load: LoadFields | None = None


class Reported(Frame, frozen=True):
    """The state of an instance, in response to `ReportAsked`."""

    correlation_id: int
    instance: str
    role: DbRole
    term: int
    received_position: tuple[int, int]
    running_statements: int


class NotSent(Frame, frozen=True):
    """The request was not sent to the instance, so nothing has run."""

    correlation_id: int
    reason: str
    # True if the instance or its owner is unreachable.
    is_unreachable: bool
    # Seconds after which a retry may succeed; None if unknown.
    retry_after: float | None = None
    # Load of the owner; None if it is not the reason, and in frames of older versions.
    load: LoadFields | None = None


class Unanswered(Frame, frozen=True):
    """The request was sent and there was no reply, so it may have run."""

    correlation_id: int
    reason: str
    # Load of the owner; None in frames of older versions.
    load: LoadFields | None = None


RequestFrame = (
    RunAsked | BeginAsked | CommitAsked | RollBackAsked | LinkClosed | ReportAsked | StepDownAsked
)
ResponseFrame = Answered | Reported | NotSent | Unanswered

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(RequestFrame | ResponseFrame)


def encode_frame(frame: RequestFrame | ResponseFrame) -> bytes:
    """Encode a frame; the length prefix is not included."""
    return _ENCODER.encode(frame)


def encode_response(response: ResponseFrame) -> bytes:
    """Encode a response; a reply larger than a frame is replaced by a failure that says so.

    Sent as it is, it would end the channel for all other requests.
    """
    data = encode_frame(response)
    if len(data) <= MAX_FRAME_BYTES or not isinstance(response, Answered):
        return data
    text = (
        f"program forward: the reply has over {MAX_FRAME_BYTES} bytes; the statement may have run"
    )
    failure = (FailureCode.IN_DOUBT, text)
    return encode_frame(replace(response, rows=(), signature="-", failure=failure))


def decode_frame(data: bytes) -> RequestFrame | ResponseFrame | None:
    """Decode a frame; return None for bytes that are not a valid frame."""
    try:
        frame: RequestFrame | ResponseFrame = _DECODER.decode(data)
    except (ValueError, RecursionError):
        return None
    return frame


# Conversions.


def encode_position(position: Position | None) -> tuple[int, int] | None:
    """Encode a log position as (term, index)."""
    return None if position is None else (position.term, position.index)


def decode_position(pair: tuple[int, int] | None) -> Position | None:
    """Decode a log position from (term, index)."""
    return None if pair is None else Position(*pair)


def encode_statement(statement: ExecutableStatement) -> tuple[AccessMode, str | None, str]:
    """Return the access mode, the prepared text (None if not prepared) and the arguments."""
    match statement:
        case Read(arguments):
            return AccessMode.READ, None, arguments
        case Write(arguments):
            return AccessMode.WRITE, None, arguments
        case ExecutePrepared(prepared_statement, arguments):
            return prepared_statement.mode, prepared_statement.text, arguments


def decode_statement(frame: RunAsked) -> ExecutableStatement:
    """Return the statement of a frame."""
    if frame.prepared_text is not None:
        return ExecutePrepared(PreparedStatement(frame.mode, frame.prepared_text), frame.arguments)
    return Read(frame.arguments) if frame.mode is AccessMode.READ else Write(frame.arguments)


def encode_reply(correlation_id: int, reply: Reply, load: LoadFields | None = None) -> Answered:
    """Encode a reply, with the load of the owner."""
    failure = (reply.failure.code, reply.failure.detail) if reply.failure else None
    retry_after = reply.failure.retry_after if reply.failure else None
    position = encode_position(reply.position)
    return Answered(
        correlation_id,
        reply.rows,
        reply.signature,
        failure,
        reply.state,
        position,
        retry_after,
        load,
    )


def decode_reply(frame: Answered) -> Reply:
    """Return the reply of a frame."""
    failure = None if frame.failure is None else Failure(*frame.failure, frame.retry_after)
    position = decode_position(frame.position)
    return Reply(frame.rows, frame.signature, failure, frame.state, position)


def encode_report(correlation_id: int, report: InstanceReport) -> Reported:
    """Encode a report of an instance's state."""
    received_position = (report.received_position.term, report.received_position.index)
    return Reported(
        correlation_id,
        report.id,
        report.role,
        report.term,
        received_position,
        report.running_statements,
    )


def decode_report(frame: Reported) -> InstanceReport:
    """Return the report of a frame."""
    received_position = Position(*frame.received_position)
    return InstanceReport(
        frame.instance,
        frame.role,
        frame.term,
        received_position,
        running_statements=frame.running_statements,
    )
