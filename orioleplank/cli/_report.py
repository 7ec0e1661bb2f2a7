"""The report on service-level burn."""

from __future__ import annotations

import argparse
from collections import Counter, defaultdict
from dataclasses import asdict, dataclass

from prometheus_client.parser import text_string_to_metric_families

from orioleplank.cli._admin import call_admin, call_admin_text
from orioleplank.cli._burn_rate import fetch_burn_rates, format_burn_rate, render_html_report
from orioleplank.cli._output import ExitCode, print_result

DEFAULT_ADMIN = "127.0.0.1:7403"
DEFAULT_OBJECTIVE = 0.999


@dataclass(frozen=True, slots=True)
class KindReport:
    """Service of one kind over all proxies, since they started."""

    # Name of the service.
    service: str
    # Name of the kind.
    kind: str
    # Requests answered whole.
    answered: int
    # Requests refused by a person's change.
    refused_by_person: int
    # Requests refused by a program.
    refused_by_program: int
    # Of the refused, those that may have run.
    unknown: int
    # Refusals by reason.
    reasons: dict[str, int]
    # Share of requests to be answered whole.
    objective: float
    # Share of the allowed refusals by programs that is used up; 1 is all of it.
    burn: float
    # Share of reads that replicas served; None without reads.
    replica_share: float | None


def report_command(options: argparse.Namespace) -> int:
    """Merge the metrics of all proxies and show the burn of each kind."""
    addresses = options.admin or [DEFAULT_ADMIN]
    counts: Counter[tuple[str, ...]] = Counter()
    reads: Counter[tuple[str, ...]] = Counter()
    for address in addresses:
        _add_metrics(address, counts, reads)
    objectives = _read_objectives(addresses[0])
    reports = _summarize(counts, reads, objectives)
    burns = fetch_burn_rates(addresses, objectives, DEFAULT_OBJECTIVE)
    lines = [_describe(report) for report in reports]
    if options.html:
        options.html.write_text(render_html_report(lines, burns), encoding="utf-8")
    by_kind = {(burn.service, burn.kind): burn for burn in burns}
    for place, report in enumerate(reports):
        burn = by_kind.get((report.service, report.kind))
        lines[place] += f"\n{format_burn_rate(burn)}" if burn else ""
    shown = {
        "kinds": [asdict(report) for report in reports],
        "burn": [{**asdict(burn), "alert": burn.alert} for burn in burns],
    }
    print_result(options.output, shown, "\n".join(lines))
    return ExitCode.DONE


def _add_metrics(
    address: str, counts: Counter[tuple[str, ...]], reads: Counter[tuple[str, ...]]
) -> None:
    text = str(call_admin_text(address, "GET", "metrics").body)
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = sample.labels
            if sample.name == "orioleplank_requests_total":
                names = ("service", "kind", "outcome", "party", "reason", "did_run")
                counts[tuple(labels[name] for name in names)] += int(sample.value)
            elif sample.name == "orioleplank_reads_total":
                roles = ("service", "kind", "role")
                reads[tuple(labels[name] for name in roles)] += int(sample.value)


def _read_objectives(address: str) -> dict[tuple[str, str], float]:
    objects = call_admin(address, "GET", "objects").body
    return {
        (item["name"], kind["name"]): kind["objective"]
        for item in objects
        if item["kind"] == "service" and item["spec"]
        for kind in item["spec"]["kinds"]
    }


def _summarize(
    counts: Counter[tuple[str, ...]],
    reads: Counter[tuple[str, ...]],
    objectives: dict[tuple[str, str], float],
) -> list[KindReport]:
    keys = sorted({(key[0], key[1]) for key in counts})
    return [
        _summarize_kind(key, counts, reads, objectives.get(key, DEFAULT_OBJECTIVE)) for key in keys
    ]


def _summarize_kind(
    key: tuple[str, str],
    counts: Counter[tuple[str, ...]],
    reads: Counter[tuple[str, ...]],
    objective: float,
) -> KindReport:
    totals: Counter[str] = Counter()
    reasons: defaultdict[str, int] = defaultdict(int)
    for (service, kind, outcome, party, reason, did_run), value in counts.items():
        if (service, kind) != key:
            continue
        totals[party or outcome] += value
        if outcome == "refused":
            reasons[reason] += value
            totals["unknown"] += value if did_run == "unknown" else 0
    tried = totals["answered"] + totals["program"]
    failed = totals["program"] / tried if tried else 0.0
    by_replica, by_primary = reads[(*key, "replica")], reads[(*key, "primary")]
    served = by_replica + by_primary
    return KindReport(
        *key,
        totals["answered"],
        totals["person"],
        totals["program"],
        totals["unknown"],
        dict(reasons),
        objective,
        failed / (1 - objective),
        by_replica / served if served else None,
    )


def _describe(report: KindReport) -> str:
    share = "" if report.replica_share is None else f", {report.replica_share:.1%} by replicas"
    return (
        f"{report.service}/{report.kind}: {report.answered} answered,"
        f" {report.refused_by_program} refused by programs"
        f" ({report.unknown} of unknown outcome), {report.refused_by_person} by people;"
        f" objective {report.objective:.2%}, burn {report.burn:.2f}{share}"
    )
