"""Cases for mechanisms that the cells do not need, because another one acts first."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from orioleplank.decision.quorum import Answer, Safeguard, StatementEnded, StatementStatus
from orioleplank.decision.quorum.tests.test_proxy import ProxyHarness

FLOOD = 60
BUDGET = 100
EARNED = 12


@dataclass(frozen=True, slots=True)
class FocusedCase:
    """One case."""

    # Name of the case.
    name: str
    # Returns what is broken, with some mechanisms switched off; empty when nothing is.
    run: Callable[[frozenset[Safeguard]], str]


def play_cut_off_primary(off: frozenset[Safeguard]) -> str:
    """Send a current read to a primary that nobody but the proxy reaches."""
    bench = ProxyHarness(off)
    bench.silent_instances = {"b", "c"}
    bench.send_request()
    bench.answer_statement()
    answers = [outcome for outcome in bench.outcomes if isinstance(outcome, Answer)]
    return "a primary that no majority confirmed was believed" if answers else ""


def play_refusing_primary(off: frozenset[Safeguard]) -> str:
    """Let a primary refuse everything, and count the statements it gets."""
    bench = ProxyHarness(off)
    answered = 0
    for number in range(FLOOD):
        bench.send_request(write=True, request_id=f"r{number}")
    for _ in range(FLOOD):
        while answered < len(bench.statements):
            sent = bench.statements[answered]
            answered += 1
            no_slot = StatementStatus.NO_SLOT
            bench.send_message(StatementEnded(sent.connection, sent.statement, no_slot))
        bench.advance_time(0.02)
    count = len(bench.statements)
    return f"{count} statements for {FLOOD} requests" if count > FLOOD + BUDGET + EARNED else ""


FOCUSED_CASES = (
    FocusedCase("current read x cut-off primary", play_cut_off_primary),
    FocusedCase("writes x primary that refuses all", play_refusing_primary),
)
