"""The status of a proxy as JSON values."""

from __future__ import annotations

from orioleplank.daemon._message import StatusResponse
from orioleplank.decision.quorum import ParsedObject, ServiceStatus, dump_spec

OK = 200


def build_status_response(told: StatusResponse) -> tuple[int, object]:
    """Return the HTTP code and the status."""
    status = told.status
    _, change = status.configuration.preset_in_force()
    return OK, {
        "proxy": status.identity.name,
        "incarnation": status.identity.incarnation,
        "zone": status.identity.zone,
        "ready": status.ready,
        "busy": status.busy,
        "alive": list(status.alive_proxies),
        "revision": status.configuration.revision,
        "preset_change": change.id if change else "",
        "services": {name: _describe_service(item) for name, item in status.services.items()},
    }


def _describe_service(service: ServiceStatus) -> object:
    primary = service.view.primary()
    return {
        "primary": primary.instance if primary else "",
        "term": primary.term if primary else 0,
        "committed": str(service.view.committed.last),
        "queued": service.queued,
        "instances": {
            name: {
                "role": seen.report.role.value,
                "term": seen.report.term,
                "position": str(seen.report.term_history.last),
                "leaving": seen.report.leaving,
                "reachable": name not in service.view.unreachable,
                "connections": service.pools[name].size,
                "running": service.pools[name].running,
                "slots": service.pools[name].slot_limit,
            }
            for name, seen in service.view.latest_reports.items()
        },
    }


def object_to_json(accepted: ParsedObject) -> object:
    """Return an object with its version and the change that wrote it."""
    change = accepted.change
    return {
        "kind": accepted.stored.key.kind.value,
        "name": accepted.stored.key.name,
        "version": accepted.stored.version,
        "change": change.id if change else "",
        "author": change.author if change else "",
        "at": change.at if change else 0.0,
        "spec": dump_spec(accepted.spec) if accepted.spec is not None else None,
    }
