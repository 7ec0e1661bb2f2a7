"""Burn rates of error budgets over several windows, and the report as an HTML page."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from html import escape

from orioleplank.cli._admin import call_admin

FAST_WINDOWS, FAST_BURN_RATE = ("5m", "1h"), 14.4
SLOW_WINDOWS, SLOW_BURN_RATE = ("30m", "6h"), 6.0
# Burn rate at which a bar of the HTML page has its full length.
MAX_BAR_RATE = 20.0


@dataclass(frozen=True, slots=True)
class KindBurnRate:
    """How fast requests of one kind consume the error budget.

    A rate of 1 consumes exactly the budget of a window. An alert requires that the rates of a short
    and a long window both reach the threshold (Beyer and others,
    "The Site Reliability Workbook", 2018, chapter 5).
    """

    service: str
    kind: str
    # Burn rate by name of the window.
    rates: dict[str, float]
    # Remaining share of the longest window's budget; below 0 when it is exceeded.
    left: float

    @property
    def alert(self) -> str:
        """Alert to raise: "fast", "slow", or "" for none."""
        if all(self.rates[window] >= FAST_BURN_RATE for window in FAST_WINDOWS):
            return "fast"
        if all(self.rates[window] >= SLOW_BURN_RATE for window in SLOW_WINDOWS):
            return "slow"
        return ""


def fetch_burn_rates(
    addresses: list[str], objectives: dict[tuple[str, str], float], default_objective: float
) -> list[KindBurnRate]:
    """Add up the counts of all proxies and return the burn rates of each kind, sorted.

    `default_objective` is the objective of kinds that `objectives` does not contain.
    """
    answered: defaultdict[tuple[str, str], Counter[str]] = defaultdict(Counter)
    failed: defaultdict[tuple[str, str], Counter[str]] = defaultdict(Counter)
    for address in addresses:
        for item in call_admin(address, "GET", "burn").body:
            key = (item["service"], item["kind"])
            for window, (answered_count, failed_count) in item["windows"].items():
                answered[key][window] += answered_count
                failed[key][window] += failed_count
    burn_rates = []
    for key in sorted(answered):
        budget = 1 - objectives.get(key, default_objective)
        rates = {
            window: _compute_burn_rate(answered[key][window], failed[key][window], budget)
            for window in (*FAST_WINDOWS, *SLOW_WINDOWS)
        }
        burn_rates.append(KindBurnRate(*key, rates, 1 - rates["6h"]))
    return burn_rates


def _compute_burn_rate(answered: int, failed: int, budget: float) -> float:
    total = answered + failed
    return failed / total / budget if total else 0.0


def format_burn_rate(burn_rate: KindBurnRate) -> str:
    """Return one line of text for the report."""
    rates = ", ".join(f"{window} {rate:.2f}" for window, rate in burn_rate.rates.items())
    alert = f"; ALERT: {burn_rate.alert} burn" if burn_rate.alert else ""
    return f"  burn {rates}; {burn_rate.left:.0%} of the six hours' budget left{alert}"


def render_html_report(lines: list[str], burn_rates: list[KindBurnRate]) -> str:
    """Return the report as an HTML page; `lines` are the summaries since the proxies started."""
    rows = "".join(_render_row(burn_rate) for burn_rate in burn_rates)
    summary = "".join(f"<li>{escape(line)}</li>" for line in lines)
    return (
        "<!doctype html><html lang='en'><meta charset='utf-8'><title>Service-level burn</title>"
        "<style>body{font:16px sans-serif;margin:2em}td,th{padding:.3em .8em;text-align:left}"
        "i{display:inline-block;height:.8em;background:#c33}</style>"
        "<h1>Service-level burn</h1><p>A rate of 1 uses up exactly the budget of the window.</p>"
        "<table><tr><th>service</th><th>kind</th><th>5m</th><th>30m</th><th>1h</th><th>6h</th>"
        f"<th>budget left</th><th>alert</th></tr>{rows}</table>"
        f"<h2>Since the proxies started</h2><ul>{summary}</ul></html>"
    )


def _render_row(burn_rate: KindBurnRate) -> str:
    cells = "".join(
        f"<td><i style='width:{min(burn_rate.rates[window], MAX_BAR_RATE) * 4:.0f}px'></i>"
        f" {burn_rate.rates[window]:.2f}</td>"
        for window in ("5m", "30m", "1h", "6h")
    )
    return (
        f"<tr><td>{escape(burn_rate.service)}</td><td>{escape(burn_rate.kind)}</td>{cells}"
        f"<td>{burn_rate.left:.0%}</td><td>{burn_rate.alert}</td></tr>"
    )
