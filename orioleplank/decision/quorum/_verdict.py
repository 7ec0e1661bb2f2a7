"""What to do with an upstream's reply: release it, wait, try again, resolve, or refuse."""

from __future__ import annotations

from dataclasses import dataclass

from orioleplank.decision.quorum._exchange import Exchange, Holding
from orioleplank.decision.quorum._group import GroupView
from orioleplank.decision.quorum._mechanism import Switch
from orioleplank.decision.quorum._message import StatementEnded, StatementStatus
from orioleplank.decision.quorum._refusal import DidRun, Mechanism, Program, Reason, Refusal
from orioleplank.decision.quorum._request import Answer, Current, MaxAge, Operation


@dataclass(frozen=True, slots=True)
class Release:
    """Answer the caller."""

    # The answer.
    answer: Answer


@dataclass(frozen=True, slots=True)
class Hold:
    """Keep the reply until more is known."""

    # True when only a round can tell more.
    needs_round: bool = False


@dataclass(frozen=True, slots=True)
class TryAgain:
    """Run it again: it did not run, or running it again does no harm."""

    # Why.
    why: str
    # True when a replica could not serve it.
    primary_only: bool = False


@dataclass(frozen=True, slots=True)
class Resolve:
    """Ask the ledger what became of it."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse it."""

    # The refusal.
    refusal: Refusal


Verdict = Release | Hold | TryAgain | Resolve | Refuse


def judge_ended(exchange: Exchange, ended: StatementEnded, view: GroupView) -> Verdict:
    """Decide on a reply as it comes; `Hold` means to go on with `judge_held`."""
    match ended.status:
        case StatementStatus.DONE | StatementStatus.REPEATED | StatementStatus.TOMBSTONED:
            return Hold()
        case StatementStatus.STALE_TERM | StatementStatus.NO_SLOT | StatementStatus.LEAVING:
            return TryAgain(ended.status.value, primary_only=False)
        case StatementStatus.FAILED:
            return _judge_failed(exchange, ended, view)


def _judge_failed(exchange: Exchange, ended: StatementEnded, view: GroupView) -> Verdict:
    if exchange.ambiguous and exchange.request.ledger_id:
        return Resolve()
    did_run = DidRun.UNKNOWN if exchange.ambiguous else DidRun.NO
    return Refuse(
        Refusal(
            Reason.STATEMENT_FAILED,
            Program(Mechanism.UPSTREAM),
            did_run,
            "run statement",
            ended.connection.instance,
            detail=ended.detail,
        )
    )


def judge_held(exchange: Exchange, held: Holding, view: GroupView, now: float) -> Verdict:
    """Decide on a reply that is being held."""
    position = held.position
    if view.is_lost(position):
        return TryAgain("what it showed did not survive", primary_only=exchange.primary_only)
    if not view.is_safe(position):
        return Hold()
    if held.tombstoned:
        return Refuse(tombstoned_refusal(held.instance))
    if not exchange.request.write and exchange.request.operation is Operation.RUN:
        verdict = _judge_freshness(exchange, held, view, now)
        if verdict is not None:
            return verdict
    return Release(_answer(exchange, held))


def tombstoned_refusal(peer: str) -> Refusal:
    """Return the refusal of a request whose id is tombstoned on a majority."""
    return Refusal(
        Reason.TOMBSTONED,
        Program(Mechanism.LEDGER),
        DidRun.NO,
        "resolve outcome",
        peer,
        detail="the request did not run and cannot run under this id any more",
    )


def _judge_freshness(
    exchange: Exchange, held: Holding, view: GroupView, now: float
) -> Verdict | None:
    """Return why a read's answer may not be released, None when it may."""
    request = exchange.request
    seen = request.token.position(request.service)
    if held.position < seen and view.mechanisms.on(Switch.SESSION):
        return TryAgain("older than the session has seen", primary_only=True)
    match request.freshness:
        case Current():
            if not view.confirmed_since(exchange.arrived, held.term):
                return _await_round(held, view)
        case MaxAge(seconds):
            age = view.age(held.position, now)
            if view.mechanisms.on(Switch.AGE) and (age is None or age > seconds):
                if held.by_replica:
                    return TryAgain("older than accepted", primary_only=True)
                return Hold(needs_round=True)
    return None


def _await_round(held: Holding, view: GroupView) -> Verdict:
    primary = view.primary()
    if primary is not None and primary.term > held.term:
        return TryAgain("its primary was replaced", primary_only=True)
    return Hold(needs_round=True)


def _answer(exchange: Exchange, held: Holding) -> Answer:
    request = exchange.request
    return Answer(
        held.result,
        request.token.advance(request.service, held.position),
        held.position,
        held.instance,
        held.by_replica,
        held.repeated,
    )
