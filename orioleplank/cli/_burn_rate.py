"""Burn rates over several windows, and the report as an HTML page."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from html import escape

from orioleplank.cli._admin import call_admin

FAST_WINDOWS, FAST_RATE = ("5m", "1h"), 14.4
SLOW_WINDOWS, SLOW_RATE = ("30m", "6h"), 6.0
FULL_BAR = 20.0


@dataclass(frozen=True, slots=True)
class KindBurnRate:
    """How fast one kind uses up its error budget.

    A rate of 1 uses up exactly the budget. Fast and slow burn each need a short and a long window
    (Beyer and others, "The Site Reliability Workbook", 2018, chapter 5).
    """

    # Name of the service.
    service: str
    # Name of the kind.
    kind: str
    # Burn rate by window.
    rates: dict[str, float]
    # Share of the budget of the longest window that is left; below 0 when overspent.
    left: float

    @property
    def alert(self) -> str:
        """What to be alarmed at: "fast", "slow" or nothing."""
        if all(self.rates[window] >= FAST_RATE for window in FAST_WINDOWS):
            return "fast"
        if all(self.rates[window] >= SLOW_RATE for window in SLOW_WINDOWS):
            return "slow"
        return ""


def fetch_burn_rates(
    addresses: list[str], objectives: dict[tuple[str, str], float], default: float
) -> list[KindBurnRate]:
    """Merge the windows of all proxies and return the burn of each kind."""
    answered: defaultdict[tuple[str, str], Counter[str]] = defaultdict(Counter)
    failed: defaultdict[tuple[str, str], Counter[str]] = defaultdict(Counter)
    for address in addresses:
        for item in call_admin(address, "GET", "burn").body:
            key = (item["service"], item["kind"])
            for window, (good, bad) in item["windows"].items():
                answered[key][window] += good
                failed[key][window] += bad
    burns = []
    for key in sorted(answered):
        budget = 1 - objectives.get(key, default)
        rates = {
            window: _rate(answered[key][window], failed[key][window], budget)
            for window in (*FAST_WINDOWS, *SLOW_WINDOWS)
        }
        burns.append(KindBurnRate(*key, rates, 1 - rates["6h"]))
    return burns


def _rate(answered: int, failed: int, budget: float) -> float:
    tried = answered + failed
    return failed / tried / budget if tried else 0.0


def format_burn_rate(burn: KindBurnRate) -> str:
    """Return one line for people."""
    rates = ", ".join(f"{window} {rate:.2f}" for window, rate in burn.rates.items())
    alert = f"; ALERT: {burn.alert} burn" if burn.alert else ""
    return f"  burn {rates}; {burn.left:.0%} of the six hours' budget left{alert}"


def render_html_report(lines: list[str], burns: list[KindBurnRate]) -> str:
    """Return the report as an HTML page."""
    rows = "".join(_render_row(burn) for burn in burns)
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


def _render_row(burn: KindBurnRate) -> str:
    cells = "".join(
        f"<td><i style='width:{min(burn.rates[window], FULL_BAR) * 4:.0f}px'></i>"
        f" {burn.rates[window]:.2f}</td>"
        for window in ("5m", "30m", "1h", "6h")
    )
    return (
        f"<tr><td>{escape(burn.service)}</td><td>{escape(burn.kind)}</td>{cells}"
        f"<td>{burn.left:.0%}</td><td>{burn.alert}</td></tr>"
    )
