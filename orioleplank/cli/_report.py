"""The `report` command, which shows service levels and burn rates of all request kinds."""

from __future__ import annotations

import argparse
from collections import Counter, defaultdict
from dataclasses import asdict, dataclass

from prometheus_client.parser import text_string_to_metric_families

from orioleplank.cli._admin import call_admin, call_admin_text
from orioleplank.cli._burn_rate import fetch_burn_rates, format_burn_rate, render_html_report
from orioleplank.cli._output import ExitCode, print_result

DEFAULT_ADMIN_ADDRESS = "127.0.0.1:7403"
DEFAULT_OBJECTIVE = 0.999


@dataclass(frozen=True, slots=True)
class KindReport:
    """Service level of one request kind over all proxies, since they started."""

    service: str
    kind: str
    # Requests answered completely.
    answered: int
    # Requests refused because of an operator's change.
    refused_by_person: int
    # Requests refused by the proxy itself.
    refused_by_program: int
    # Refused requests for which it is unknown whether they ran.
    unknown: int
    # Number of refused requests by reason.
    reasons: dict[str, int]
    # Target share of completely answered requests.
    objective: float
    # Consumed share of the error budget, which counts refusals by the proxy; 1 is all of it.
    burn: float
    # Share of answered reads that replicas served; None without reads.
    replica_share: float | None


def report_command(options: argparse.Namespace) -> int:
    """Add up the metrics of all proxies and print the service level and burn rates of each kind."""
    addresses = options.admin or [DEFAULT_ADMIN_ADDRESS]
    request_counts: Counter[tuple[str, ...]] = Counter()
    read_counts: Counter[tuple[str, ...]] = Counter()
    for address in addresses:
        _add_metrics(address, request_counts, read_counts)
    objectives = _read_objectives(addresses[0])
    reports = _summarize(request_counts, read_counts, objectives)
    burn_rates = fetch_burn_rates(addresses, objectives, DEFAULT_OBJECTIVE)
    lines = [_format_report(report) for report in reports]
    if options.html:
        options.html.write_text(render_html_report(lines, burn_rates), encoding="utf-8")
    by_kind = {(burn_rate.service, burn_rate.kind): burn_rate for burn_rate in burn_rates}
    for index, report in enumerate(reports):
        burn_rate = by_kind.get((report.service, report.kind))
        lines[index] += f"\n{format_burn_rate(burn_rate)}" if burn_rate else ""
    result = {
        "kinds": [asdict(report) for report in reports],
        "burn": [{**asdict(burn_rate), "alert": burn_rate.alert} for burn_rate in burn_rates],
    }
    print_result(options.output, result, "\n".join(lines))
    return ExitCode.DONE


def _add_metrics(
    address: str, request_counts: Counter[tuple[str, ...]], read_counts: Counter[tuple[str, ...]]
) -> None:
    text = str(call_admin_text(address, "GET", "metrics").body)
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = sample.labels
            if sample.name == "orioleplank_requests_total":
                request_labels = ("service", "kind", "outcome", "party", "reason", "did_run")
                request_counts[tuple(labels[name] for name in request_labels)] += int(sample.value)
            elif sample.name == "orioleplank_reads_total":
                read_labels = ("service", "kind", "role")
                read_counts[tuple(labels[name] for name in read_labels)] += int(sample.value)


def _read_objectives(address: str) -> dict[tuple[str, str], float]:
    objects = call_admin(address, "GET", "objects").body
    return {
        (item["name"], kind["name"]): kind["objective"]
        for item in objects
        if item["kind"] == "service" and item["spec"]
        for kind in item["spec"]["kinds"]
    }


def _summarize(
    request_counts: Counter[tuple[str, ...]],
    read_counts: Counter[tuple[str, ...]],
    objectives: dict[tuple[str, str], float],
) -> list[KindReport]:
    keys = sorted({(key[0], key[1]) for key in request_counts})
    return [
        _summarize_kind(key, request_counts, read_counts, objectives.get(key, DEFAULT_OBJECTIVE))
        for key in keys
    ]


def _summarize_kind(
    key: tuple[str, str],
    request_counts: Counter[tuple[str, ...]],
    read_counts: Counter[tuple[str, ...]],
    objective: float,
) -> KindReport:
    totals: Counter[str] = Counter()
    reasons: defaultdict[str, int] = defaultdict(int)
    for (service, kind, outcome, party, reason, did_run), value in request_counts.items():
        if (service, kind) != key:
            continue
        totals[party or outcome] += value
        if outcome == "refused":
            reasons[reason] += value
            totals["unknown"] += value if did_run == "unknown" else 0
    total = totals["answered"] + totals["program"]
    failed = totals["program"] / total if total else 0.0
    by_replica, by_primary = read_counts[(*key, "replica")], read_counts[(*key, "primary")]
    total_reads = by_replica + by_primary
    return KindReport(
        *key,
        totals["answered"],
        totals["person"],
        totals["program"],
        totals["unknown"],
        dict(reasons),
        objective,
        failed / (1 - objective),
        by_replica / total_reads if total_reads else None,
    )


def _format_report(report: KindReport) -> str:
    share = "" if report.replica_share is None else f", {report.replica_share:.1%} by replicas"
    return (
        f"{report.service}/{report.kind}: {report.answered} answered,"
        f" {report.refused_by_program} refused by programs"
        f" ({report.unknown} of unknown outcome), {report.refused_by_person} by people;"
        f" objective {report.objective:.2%}, burn {report.burn:.2f}{share}"
    )
