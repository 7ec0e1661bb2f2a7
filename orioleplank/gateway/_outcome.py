"""Outcomes of requests: a reply of an instance, or a refusal by the proxy."""

from __future__ import annotations

from msgspec import Struct

from orioleplank.decision.session import Failure, FailureCode, Reply

# The processing step of a request that waits for a connection.
WAIT_STEP = "wait for connection"


class Completed(Struct, frozen=True):
    """A reply of an instance that is returned to the caller."""

    reply: Reply
    # Id of the instance that replied.
    instance: str


class Refused(Struct, frozen=True):
    """A request that the proxy refused or abandoned."""

    # The reason; its code shows whether the request may have run.
    failure: Failure
    # The processing step that failed.
    step: str
    # Id of the instance concerned; empty if there is none.
    instance: str = ""
    # For a read: each instance that was considered, and the reason against it.
    candidates: tuple[str, ...] = ()

    @property
    def reason(self) -> str:
        """The text of the failure without who refused and the step."""
        return self.failure.detail.partition(": ")[2]

    @property
    def has_retry_after(self) -> bool:
        """True if it states when to retry; the proxy then does not wait and retry by itself."""
        return self.failure.retry_after is not None


Outcome = Completed | Refused


def refuse(
    code: FailureCode, step: str, detail: str, instance: str = "", retry_after: float | None = None
) -> Refused:
    """Build a refusal by this proxy whose text contains the step and the reason.

    `retry_after` is the number of seconds after which a retry may succeed; None if unknown.
    """
    return _build_refusal(f"program {step}: {detail}", code, step, instance, retry_after)


def refuse_by_operator(
    code: FailureCode, step: str, detail: str, retry_after: float | None = None
) -> Refused:
    """Build a refusal that follows from the operator's configuration and not from a fault.

    `retry_after` is the number of seconds after which a retry may succeed; None if unknown.
    """
    return _build_refusal(f"operator {step}: {detail}", code, step, "", retry_after)


def _build_refusal(
    text: str, code: FailureCode, step: str, instance: str, retry_after: float | None
) -> Refused:
    if retry_after is not None:
        text = f"{text}; retry after {retry_after:.2f} s"
    return Refused(Failure(code, text, retry_after), step, instance)
