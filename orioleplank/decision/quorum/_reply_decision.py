"""Decides on an upstream reply: release, hold, retry, resolve through the ledger, or refuse."""

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
    """Send the answer to the caller."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class HoldReply:
    """Hold the reply until its position is committed and fresh enough."""

    # True when a new probe round is needed before the reply can be released.
    needs_round: bool = False


@dataclass(frozen=True, slots=True)
class RetryRequest:
    """Send the request again; it did not run, or it is safe to run again."""

    # Cause of the retry, for the log.
    reason: str
    # True when the next attempt must go to the primary.
    primary_only: bool = False


@dataclass(frozen=True, slots=True)
class ResolveOutcome:
    """Query the ledger for the outcome of the request."""


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Refuse the request."""

    refusal: Refusal


ReplyDecision = ReleaseAnswer | HoldReply | RetryRequest | ResolveOutcome | RefuseRequest


def decide_reply(
    pending: PendingRequest, message: StatementEnded, view: GroupView
) -> ReplyDecision:
    """Decide on a reply when it arrives.

    After `HoldReply`, the calling code stores the reply and applies `decide_held_reply` to it.
    """
    match message.status:
        case StatementStatus.DONE | StatementStatus.REPEATED | StatementStatus.TOMBSTONED:
            return HoldReply()
        case StatementStatus.STALE_TERM | StatementStatus.NO_SLOT | StatementStatus.LEAVING:
            return RetryRequest(message.status.value, primary_only=False)
        case StatementStatus.FAILED:
            return _decide_failed_statement(pending, message, view)


def _decide_failed_statement(
    pending: PendingRequest, message: StatementEnded, view: GroupView
) -> ReplyDecision:
    if pending.ambiguous and pending.request.ledger_id:
        return ResolveOutcome()
    did_run = DidRun.UNKNOWN if pending.ambiguous else DidRun.NO
    return RefuseRequest(
        Refusal(
            RefusalReason.STATEMENT_FAILED,
            Program(Mechanism.UPSTREAM),
            did_run,
            "run statement",
            message.connection.instance,
            detail=message.detail,
        )
    )


def decide_held_reply(
    pending: PendingRequest, held: ReplyHeld, view: GroupView, now: float
) -> ReplyDecision:
    """Decide on a held reply, which is released once its position is on a majority."""
    position = held.position
    if view.is_lost(position):
        return RetryRequest("what it showed did not survive", primary_only=pending.primary_only)
    if not view.is_committed(position):
        return HoldReply()
    if held.tombstoned:
        return RefuseRequest(tombstoned_refusal(held.instance))
    if not pending.request.write and pending.request.operation is Operation.RUN:
        decision = _check_freshness(pending, held, view, now)
        if decision is not None:
            return decision
    return ReleaseAnswer(_build_answer(pending, held))


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


def _check_freshness(
    pending: PendingRequest, held: ReplyHeld, view: GroupView, now: float
) -> ReplyDecision | None:
    """Return the decision for a read that is not fresh enough; None when it may be released."""
    request = pending.request
    session_position = request.token.position(request.service)
    if held.position < session_position and view.safeguards.is_enabled(Safeguard.SESSION):
        return RetryRequest("older than the session has seen", primary_only=True)
    match request.freshness:
        case CurrentFreshness():
            if not view.is_confirmed_since(pending.arrived_at, held.term):
                return _wait_for_round(held, view)
        case MaxAgeFreshness(seconds):
            age = view.staleness_bound(held.position, now)
            if view.safeguards.is_enabled(Safeguard.AGE) and (age is None or age > seconds):
                if held.by_replica:
                    return RetryRequest("older than accepted", primary_only=True)
                return HoldReply(needs_round=True)
    return None


def _wait_for_round(held: ReplyHeld, view: GroupView) -> ReplyDecision:
    primary = view.primary()
    if primary is not None and primary.term > held.term:
        return RetryRequest("its primary was replaced", primary_only=True)
    return HoldReply(needs_round=True)


def _build_answer(pending: PendingRequest, held: ReplyHeld) -> Answer:
    request = pending.request
    return Answer(
        held.result,
        request.token.advance(request.service, held.position),
        held.position,
        held.instance,
        held.by_replica,
        held.repeated,
    )
