"""Status and objects of a proxy as JSON values, for the admin API."""

from __future__ import annotations

from orioleplank.daemon._message import StatusResponse
from orioleplank.decision.quorum import ParsedObject, ServiceStatus, dump_spec

OK = 200


def build_status_response(response: StatusResponse) -> tuple[int, object]:
    """Return the HTTP status code and the proxy's status as JSON values."""
    status = response.status
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
        "services": {name: _service_to_json(service) for name, service in status.services.items()},
    }


def _service_to_json(service: ServiceStatus) -> object:
    primary = service.view.primary()
    return {
        "primary": primary.instance if primary else "",
        "term": primary.term if primary else 0,
        "committed": str(service.view.committed.last),
        "queued": service.queued,
        "instances": {
            name: {
                "role": received.report.role.value,
                "term": received.report.term,
                "position": str(received.report.term_history.last),
                "leaving": received.report.leaving,
                "reachable": name not in service.view.unreachable,
                "connections": service.pools[name].size,
                "running": service.pools[name].running,
                "slots": service.pools[name].slot_limit,
            }
            for name, received in service.view.latest_reports.items()
        },
    }


def object_to_json(parsed: ParsedObject) -> object:
    """Return an object as JSON values, with its version and the change that wrote it.

    `spec` is None for a deleted object.
    """
    change = parsed.change
    return {
        "kind": parsed.stored.key.kind.value,
        "name": parsed.stored.key.name,
        "version": parsed.stored.version,
        "change": change.id if change else "",
        "author": change.author if change else "",
        "at": change.at if change else 0.0,
        "spec": dump_spec(parsed.spec) if parsed.spec is not None else None,
    }
