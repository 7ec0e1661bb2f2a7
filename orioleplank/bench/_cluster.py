"""The processes that the benchmarks measure."""

from __future__ import annotations

import json
import os
import signal
import time
from dataclasses import dataclass
from urllib.request import Request, urlopen

import psutil
from prometheus_client.parser import text_string_to_metric_families

from orioleplank.cli._admin import AdminUnreachableError, call_admin, call_admin_text

STARTUP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
SERVICE = "books-1"


@dataclass(frozen=True, slots=True)
class Cluster:
    """A platform, instances and proxies on the loopback interface.

    Fields that are tuples have one item per proxy or per instance, in the same order.
    """

    # HOST:PORT of the platform.
    platform: str
    # Addresses of the proxies for callers.
    proxy_addresses: tuple[str, ...]
    # Admin addresses of the proxies.
    proxy_admins: tuple[str, ...]
    # Addresses of the proxies for peers.
    peers: tuple[str, ...]
    # Process ids of the proxies.
    proxy_pids: tuple[int, ...]
    instances: tuple[str, ...]
    instance_addresses: tuple[str, ...]
    # Addresses of the admin endpoints of the instances.
    instance_admins: tuple[str, ...]
    # Process ids of the instances.
    instance_pids: tuple[int, ...]
    # Slots of each instance.
    slots: int = 5
    # Connections of each instance.
    connections: int = 30

    def set_up(self) -> None:
        """Publish the VMs, apply the service and wait until each proxy is ready with a primary."""
        names = [f"entry-{number}" for number in range(1, len(self.proxy_addresses) + 1)]
        vms = [
            {"name": name, "address": peer, "zone": "akl-a"}
            for name, peer in zip(names, self.peers, strict=True)
        ]
        self._retry(lambda: self._put_vms(vms))
        for admin in self.proxy_admins:
            self._retry(lambda admin=admin: call_admin(admin, "GET", "status"))  # type: ignore[misc]
        instances = [
            {
                "name": name,
                "address": address,
                "zone": "akl-a",
                "slots": self.slots,
                "connections": self.connections,
            }
            for name, address in zip(self.instances, self.instance_addresses, strict=True)
        ]
        kinds = [{"name": "save-quote", "weight": 10}, {"name": "catalogue", "weight": 1}]
        spec = {"instances": instances, "kinds": kinds}
        path = f"objects/service/{SERVICE}"
        call_admin(self.proxy_admins[0], "PUT", path, spec, author="bench")
        deadline = time.monotonic() + STARTUP_TIMEOUT_S
        while not all(self._serves(admin) for admin in self.proxy_admins):
            if time.monotonic() > deadline:
                raise SystemExit("not every proxy was ready and knew a primary before the timeout")
            time.sleep(POLL_INTERVAL_S)
        time.sleep(2.0)

    def _put_vms(self, vms: list[dict[str, str]]) -> None:
        url = f"http://{self.platform}/vms"
        urlopen(Request(url, data=json.dumps(vms).encode(), method="PUT"), timeout=1).close()

    def _retry(self, call: object) -> None:
        deadline = time.monotonic() + STARTUP_TIMEOUT_S
        while True:
            try:
                call()  # type: ignore[operator]
                return
            except (OSError, AdminUnreachableError):
                if time.monotonic() > deadline:
                    raise
                time.sleep(POLL_INTERVAL_S)

    def _serves(self, admin: str) -> bool:
        status = call_admin(admin, "GET", "status").body
        primary = status["services"].get(SERVICE, {}).get("primary")
        return bool(primary) and bool(status["ready"])

    def find_primary(self) -> tuple[int, int]:
        """Return index and term of the primary with the highest term; (0, -1) if none responds."""
        best = (0, -1)
        for index, audit in enumerate(self.instance_admins):
            state = self.fetch_instance_state(audit)
            if state["role"] == "primary" and int(state["term"]) > best[1]:
                best = (index, int(state["term"]))
        return best

    def fetch_instance_state(self, address: str) -> dict[str, str]:
        """Return an instance's audit without its log.

        An instance that does not respond counts as a replica of term 0.
        """
        try:
            with urlopen(f"http://{address}/?brief=1", timeout=0.5) as response:
                state = json.load(response)
        except OSError:
            return {"role": "replica", "term": "0", "slots_exceeded": "0"}
        return {key: str(value) for key, value in state.items() if key != "log"}

    def signal_instance(self, index: int, number: signal.Signals) -> None:
        """Send a signal to the process of an instance."""
        os.kill(self.instance_pids[index], number)

    def cpu_seconds(self) -> float:
        """Return the CPU time that all proxies have used so far, in seconds."""
        times = [psutil.Process(pid).cpu_times() for pid in self.proxy_pids]
        return float(sum(time.user + time.system for time in times))

    def resident_bytes(self, index: int) -> int:
        """Return the resident memory of a proxy, in bytes."""
        return int(psutil.Process(self.proxy_pids[index]).memory_info().rss)

    def sum_metric(self, name: str) -> float:
        """Return the sum of a metric over all proxies and labels."""
        total = 0.0
        for admin in self.proxy_admins:
            text = str(call_admin_text(admin, "GET", "metrics").body)
            for family in text_string_to_metric_families(text):
                total += sum(s.value for s in family.samples if s.name == name)
        return total
