"""Statements, reports and ledger replies of the upstream protocol."""

from __future__ import annotations

from types import MappingProxyType

from orioleplank._protos import orioleplank_common_pb2 as common
from orioleplank._protos import orioleplank_upstream_pb2 as pb
from orioleplank.decision.quorum import (
    Boundary,
    ConnectionId,
    LedgerAnswered,
    LedgerState,
    Position,
    QueryLedger,
    Report,
    Role,
    SendStatement,
    StatementEnded,
    StatementStatus,
    TermHistory,
    TermStart,
)

MS_PER_S = 1000.0

_BOUNDARIES = MappingProxyType(
    {
        Boundary.AUTO: pb.BOUNDARY_AUTO,
        Boundary.BEGIN: pb.BOUNDARY_BEGIN,
        Boundary.STEP: pb.BOUNDARY_STEP,
        Boundary.COMMIT: pb.BOUNDARY_COMMIT,
        Boundary.ROLLBACK: pb.BOUNDARY_ROLLBACK,
    }
)
_STATUSES = MappingProxyType(
    {
        pb.STATEMENT_STATUS_DONE: StatementStatus.DONE,
        pb.STATEMENT_STATUS_REPEATED: StatementStatus.REPEATED,
        pb.STATEMENT_STATUS_STALE_TERM: StatementStatus.STALE_TERM,
        pb.STATEMENT_STATUS_NO_SLOT: StatementStatus.NO_SLOT,
        pb.STATEMENT_STATUS_LEAVING: StatementStatus.LEAVING,
        pb.STATEMENT_STATUS_FAILED: StatementStatus.FAILED,
        pb.STATEMENT_STATUS_TOMBSTONED: StatementStatus.TOMBSTONED,
    }
)
_ROLES = MappingProxyType(
    {
        pb.ROLE_SEALED: Role.SEALED,
        pb.ROLE_PRIMARY: Role.PRIMARY,
        pb.ROLE_REPLICA: Role.REPLICA,
    }
)
_ROLE_VALUES = MappingProxyType({role: number for number, role in _ROLES.items()})
_LEDGER_STATES = MappingProxyType(
    {
        pb.LEDGER_STATE_ABSENT: LedgerState.ABSENT,
        pb.LEDGER_STATE_FOUND: LedgerState.FOUND,
        pb.LEDGER_STATE_TOMBSTONED: LedgerState.TOMBSTONED,
        pb.LEDGER_STATE_STALE_TERM: LedgerState.STALE_TERM,
    }
)


def decode_position(message: common.Position) -> Position:
    """Decode a log position."""
    return Position(message.term, message.index)


def encode_position(position: Position) -> common.Position:
    """Encode a log position."""
    return common.Position(term=position.term, index=position.index)


def encode_statement(effect: SendStatement) -> pb.Statement:
    """Encode a statement for an instance."""
    return pb.Statement(
        id=effect.statement,
        term=effect.term,
        ledger_id=effect.ledger_id,
        payload=effect.payload,
        write=effect.write,
        boundary=_BOUNDARIES[effect.boundary],
    )


def decode_statement_reply(connection: ConnectionId, message: pb.StatementReply) -> StatementEnded:
    """Decode the result of a statement; raise `KeyError` if its status is unknown."""
    return StatementEnded(
        connection,
        message.id,
        _STATUSES[message.status],
        decode_position(message.position),
        message.result,
        message.detail,
    )


def decode_report(instance: str, message: pb.Report) -> Report:
    """Decode the report of `instance`; raise `KeyError` if its role is unknown."""
    starts = tuple(TermStart(start.term, start.first_index) for start in message.starts)
    return Report(
        instance,
        message.term,
        _ROLES[message.role],
        TermHistory(decode_position(message.last), starts),
        message.leaving,
        message.voting,
        message.primary_silence_ms / MS_PER_S,
        message.following,
        message.incarnation,
    )


def encode_report(report: Report, busy_slots: int) -> pb.Report:
    """Encode a report, with the number of slots in use."""
    return pb.Report(
        term=report.term,
        role=_ROLE_VALUES[report.role],
        last=encode_position(report.term_history.last),
        starts=[
            pb.TermStart(term=start.term, first_index=start.first_index)
            for start in report.term_history.starts
        ],
        leaving=report.leaving,
        voting=report.voting,
        primary_silence_ms=round(report.primary_silence * MS_PER_S),
        following=report.following,
        incarnation=report.incarnation,
        busy_slots=busy_slots,
    )


def decode_ledger_reply(query: QueryLedger, message: pb.ControlReply) -> LedgerAnswered:
    """Decode the reply to a ledger query; raise `KeyError` if the ledger state is unknown."""
    return LedgerAnswered(
        query.service,
        query.instance,
        query.query_number,
        _LEDGER_STATES[message.ledger],
        decode_position(message.position),
        message.result,
    )
