"""Stand-ins of the platform around one real proxy, for tests of misbehaving callers.

Run as a process of its own: `python -m orioleplank.tests._misbehaving_platform SUBNET`. It prints
`READY` once it listens. The instances answer some reads with large or endless replies.
"""

from __future__ import annotations

import socket
import sys
from random import Random
from typing import Any

from orioleplank._reactor import get_reactor, install_monotonic_reactor

STORE_PORT, PROMOTIONS_PORT, INSTANCE_PORT = 9000, 9001, 9300
# Instance that never completes a connection.
SILENT_INSTANCE, SILENT_PORT = "db-silent", 9399
CONNECTION_LIMIT = 30
LARGE_ROW_BYTES = 200_000
SEVERAL_ROWS = 4
# Arguments of reads, as callers send them.
SEVERAL_LARGE_ROWS = "several-large-rows"
ENDLESS_ROWS, ENDLESS_LINE = "endless-rows", "endless-line"


def main() -> None:
    """Serve the store, the promotion call and three instances until the process is ended."""
    install_monotonic_reactor()
    reactor = get_reactor()
    reactor.callWhenRunning(_listen, reactor, sys.argv[1])
    reactor.run()


def _listen(reactor: Any, subnet: str) -> None:
    from orioleplank.decision.instances import InstanceEntry, RouteTable, ServiceLimits
    from orioleplank.soak._real_time_simulator import RealTimeSimulator
    from orioleplank.soak._store import (
        INSTANCES_KIND,
        ROUTES_KIND,
        PromotionResource,
        StoreResource,
        build_http_site,
        instance_to_json,
        routes_to_json,
    )
    from orioleplank.tests._gateway_cluster import ROUTES
    from orioleplank.tests._misbehaving_instance import MisbehavingInstanceFactory
    from orioleplank.tests._simulated_instances import SERVICE, SimulatedGroup
    from orioleplank.tests._simulated_store import SimulatedStore

    host = f"{subnet}.200"
    simulator = RealTimeSimulator(reactor, Random(1))
    store = SimulatedStore(simulator)
    addresses: dict[str, str] = {}

    def publish(entry: InstanceEntry) -> None:
        store.put(INSTANCES_KIND, entry.id, instance_to_json(entry, addresses[entry.id]))

    group = SimulatedGroup(simulator, publish)
    for number, member in enumerate(group.members.values()):
        addresses[member.name] = f"{host}:{INSTANCE_PORT + number}"
        factory = MisbehavingInstanceFactory(group, member, CONNECTION_LIMIT)
        reactor.listenTCP(INSTANCE_PORT + number, factory, interface=host)
    limits = {SERVICE: ServiceLimits(CONNECTION_LIMIT)}
    routes = RouteTable(1, {route.database: route for route in ROUTES}, limits, 3.0)
    store.put(ROUTES_KIND, "main", routes_to_json(routes))
    for name in group.members:
        group.publish(name)
    silent_entry = instance_to_json(
        next(iter(group.members.values())).directory_entry, f"{host}:{SILENT_PORT}"
    )
    store.put(
        INSTANCES_KIND, SILENT_INSTANCE, {**silent_entry, "service": "none", "dbRole": "replica"}
    )
    _listen_silently(host)
    reactor.listenTCP(STORE_PORT, build_http_site(StoreResource(store)), interface=host)
    reactor.listenTCP(PROMOTIONS_PORT, build_http_site(PromotionResource(group)), interface=host)
    print("READY", flush=True)


# Sockets of the silent instance; they stay open until the process ends.
_silent_sockets: list[socket.socket] = []


def _listen_silently(host: str) -> None:
    """Listen with a full queue, so that the system completes no further connection."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, SILENT_PORT))
    listener.listen(0)
    _silent_sockets.append(listener)
    for _ in range(3):
        waiting = socket.socket()
        waiting.setblocking(False)
        waiting.connect_ex((host, SILENT_PORT))
        _silent_sockets.append(waiting)


if __name__ == "__main__":
    main()
