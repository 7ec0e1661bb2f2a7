"""What to do with an upstream's reply: release it, wait, try again, resolve, or refuse."""

from __future__ import annotations

from dataclasses import dataclass

from orioleplank.decision.quorum._group_view import GroupView
from orioleplank.decision.quorum._message import StatementEnded, StatementStatus
from orioleplank.decision.quorum._pending_request import PendingRequest, ReplyHeld
from orioleplank.decision.quorum._refusal import DidRun, Mechanism, Program, Refusal, RefusalReason
from orioleplank.decision.quorum._request import (
    Answer,
    CurrentFreshness,
    MaxAgeFreshness,
    Operation,
)
from orioleplank.decision.quorum._safeguards import Safeguard


@dataclass(frozen=True, slots=True)
class ReleaseAnswer:
    """Answer the caller."""

    # The answer.
    answer: Answer


@dataclass(frozen=True, slots=True)
class HoldReply:
    """Keep the reply until more is known."""

    # True when only a round can tell more.
    needs_round: bool = False


@dataclass(frozen=True, slots=True)
class RetryRequest:
    """Run it again: it did not run, or running it again does no harm."""

    # Why.
    reason: str
    # True when a replica could not serve it.
    primary_only: bool = False


@dataclass(frozen=True, slots=True)
class ResolveOutcome:
    """Ask the ledger what became of it."""


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Refuse it."""

    # The refusal.
    refusal: Refusal


ReplyDecision = ReleaseAnswer | HoldReply | RetryRequest | ResolveOutcome | RefuseRequest


def decide_reply(exchange: PendingRequest, ended: StatementEnded, view: GroupView) -> ReplyDecision:
    """Decide on a reply as it comes; `HoldReply` means to go on with `decide_held_reply`."""
    match ended.status:
        case StatementStatus.DONE | StatementStatus.REPEATED | StatementStatus.TOMBSTONED:
            return HoldReply()
        case StatementStatus.STALE_TERM | StatementStatus.NO_SLOT | StatementStatus.LEAVING:
            return RetryRequest(ended.status.value, primary_only=False)
        case StatementStatus.FAILED:
            return _judge_failed(exchange, ended, view)


def _judge_failed(
    exchange: PendingRequest, ended: StatementEnded, view: GroupView
) -> ReplyDecision:
    if exchange.ambiguous and exchange.request.ledger_id:
        return ResolveOutcome()
    did_run = DidRun.UNKNOWN if exchange.ambiguous else DidRun.NO
    return RefuseRequest(
        Refusal(
            RefusalReason.STATEMENT_FAILED,
            Program(Mechanism.UPSTREAM),
            did_run,
            "run statement",
            ended.connection.instance,
            detail=ended.detail,
        )
    )


def decide_held_reply(
    exchange: PendingRequest, held: ReplyHeld, view: GroupView, now: float
) -> ReplyDecision:
    """Decide on a reply that is being held."""
    position = held.position
    if view.is_lost(position):
        return RetryRequest("what it showed did not survive", primary_only=exchange.primary_only)
    if not view.is_committed(position):
        return HoldReply()
    if held.tombstoned:
        return RefuseRequest(tombstoned_refusal(held.instance))
    if not exchange.request.write and exchange.request.operation is Operation.RUN:
        verdict = _judge_freshness(exchange, held, view, now)
        if verdict is not None:
            return verdict
    return ReleaseAnswer(_answer(exchange, held))


def tombstoned_refusal(peer: str) -> Refusal:
    """Return the refusal of a request whose id is tombstoned on a majority."""
    return Refusal(
        RefusalReason.TOMBSTONED,
        Program(Mechanism.LEDGER),
        DidRun.NO,
        "resolve outcome",
        peer,
        detail="the request did not run and cannot run under this id any more",
    )


def _judge_freshness(
    exchange: PendingRequest, held: ReplyHeld, view: GroupView, now: float
) -> ReplyDecision | None:
    """Return why a read's answer may not be released, None when it may."""
    request = exchange.request
    seen = request.token.position(request.service)
    if held.position < seen and view.safeguards.is_enabled(Safeguard.SESSION):
        return RetryRequest("older than the session has seen", primary_only=True)
    match request.freshness:
        case CurrentFreshness():
            if not view.is_confirmed_since(exchange.arrived_at, held.term):
                return _await_round(held, view)
        case MaxAgeFreshness(seconds):
            age = view.staleness_bound(held.position, now)
            if view.safeguards.is_enabled(Safeguard.AGE) and (age is None or age > seconds):
                if held.by_replica:
                    return RetryRequest("older than accepted", primary_only=True)
                return HoldReply(needs_round=True)
    return None


def _await_round(held: ReplyHeld, view: GroupView) -> ReplyDecision:
    primary = view.primary()
    if primary is not None and primary.term > held.term:
        return RetryRequest("its primary was replaced", primary_only=True)
    return HoldReply(needs_round=True)


def _answer(exchange: PendingRequest, held: ReplyHeld) -> Answer:
    request = exchange.request
    return Answer(
        held.result,
        request.token.advance(request.service, held.position),
        held.position,
        held.instance,
        held.by_replica,
        held.repeated,
    )
