"""Replies that the gateway gives by itself."""

from __future__ import annotations

from dataclasses import dataclass

from orioleplank.decision.session import Failure, FailureCode, Reply


@dataclass(frozen=True, slots=True)
class Completed:
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

    @property
    def has_retry_after(self) -> bool:
        """True when it says when asking again makes sense, so that waiting here does not."""
        return self.failure.retry_after is not None


Outcome = Completed | Refused


def refuse(
    code: FailureCode, step: str, detail: str, instance: str = "", retry_after: float | None = None
) -> Refused:
    """Build a refusal by this program, with the step and the reason in its text."""
    text = f"program {step}: {detail}"
    if retry_after is not None:
        text = f"{text}; retry after {retry_after:.2f} s"
    return Refused(Failure(code, text, retry_after), step, instance)
