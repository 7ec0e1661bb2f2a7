"""Replies that the gateway gives by itself."""

from __future__ import annotations

from dataclasses import dataclass

from orioleplank.decision.session import Code, Failure, Reply


@dataclass(frozen=True, slots=True)
class Ran:
    """An instance's reply that goes to the caller."""

    # The reply.
    reply: Reply
    # Id of the instance.
    instance: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The gateway gave the request up."""

    # Why; its code says whether it may have run.
    failure: Failure
    # The step that failed.
    step: str
    # Id of the instance concerned; empty for none.
    instance: str = ""


Outcome = Ran | Refused


def refuse(code: Code, step: str, detail: str, instance: str = "") -> Refused:
    """Build a refusal by this program, with the step and the reason in its text."""
    return Refused(Failure(code, f"program {step}: {detail}"), step, instance)
