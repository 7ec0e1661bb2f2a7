"""Cases for safeguards that no cell depends on, because another safeguard takes effect first."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from orioleplank.decision.quorum import Answer, Safeguard, StatementEnded, StatementStatus
from orioleplank.decision.quorum.tests.test_proxy import ProxyHarness

REQUEST_COUNT = 60
RETRY_BUDGET = 100
EARNED_RETRIES = 12


@dataclass(frozen=True, slots=True)
class FocusedCase:
    """A scenario that violates a guarantee if one particular safeguard is disabled."""

    name: str
    # Takes the disabled safeguards; returns the violation, or an empty string if there is none.
    run: Callable[[frozenset[Safeguard]], str]


def run_cut_off_primary(disabled: frozenset[Safeguard]) -> str:
    """Send a current read to a primary that only the proxy can reach."""
    harness = ProxyHarness(disabled)
    harness.silent_instances = {"b", "c"}
    harness.send_request()
    harness.answer_statement()
    answers = [outcome for outcome in harness.outcomes if isinstance(outcome, Answer)]
    return "a read was answered by a primary that no majority had confirmed" if answers else ""


def run_refusing_primary(disabled: frozenset[Safeguard]) -> str:
    """Let a primary refuse every statement, and check the number of statements that it receives."""
    harness = ProxyHarness(disabled)
    refused_count = 0
    for number in range(REQUEST_COUNT):
        harness.send_request(write=True, request_id=f"r{number}")
    for _ in range(REQUEST_COUNT):
        while refused_count < len(harness.statements):
            sent_statement = harness.statements[refused_count]
            refused_count += 1
            no_slot = StatementStatus.NO_SLOT
            harness.send_message(
                StatementEnded(sent_statement.connection, sent_statement.statement, no_slot)
            )
        harness.advance_time(0.02)
    count = len(harness.statements)
    return (
        f"{count} statements for {REQUEST_COUNT} requests"
        if count > REQUEST_COUNT + RETRY_BUDGET + EARNED_RETRIES
        else ""
    )


FOCUSED_CASES = (
    FocusedCase("current read x cut-off primary", run_cut_off_primary),
    FocusedCase("writes x primary that refuses all", run_refusing_primary),
)
