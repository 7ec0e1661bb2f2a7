"""The processes that a benchmark measures."""

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

START_LIMIT_S = 20.0
POLL_S = 0.1
SERVICE = "books-1"


@dataclass(frozen=True, slots=True)
class Cluster:
    """A platform, instances and proxies on the loopback."""

    # Address of the platform.
    platform: str
    # Addresses of the proxies for callers.
    proxy_addresses: tuple[str, ...]
    # Admin addresses of the proxies.
    proxy_admins: tuple[str, ...]
    # Addresses of the proxies for peers.
    peers: tuple[str, ...]
    # Processes of the proxies.
    proxy_pids: tuple[int, ...]
    # Names of the instances.
    instances: tuple[str, ...]
    # Addresses of the instances.
    instance_addresses: tuple[str, ...]
    # Addresses for audits and orders of the instances.
    instance_admins: tuple[str, ...]
    # Processes of the instances.
    instance_pids: tuple[int, ...]
    # Slots and connections of each instance.
    slots: int = 5
    # Connections of each instance.
    connections: int = 30

    def set_up(self) -> None:
        """List the VMs, apply the service and wait for a primary at every proxy."""
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
        deadline = time.monotonic() + START_LIMIT_S
        while not all(self._serves(admin) for admin in self.proxy_admins):
            if time.monotonic() > deadline:
                raise SystemExit("a proxy found no primary")
            time.sleep(POLL_S)
        time.sleep(2.0)

    def _put_vms(self, vms: list[dict[str, str]]) -> None:
        url = f"http://{self.platform}/vms"
        urlopen(Request(url, data=json.dumps(vms).encode(), method="PUT"), timeout=1).close()

    def _retry(self, call: object) -> None:
        deadline = time.monotonic() + START_LIMIT_S
        while True:
            try:
                call()  # type: ignore[operator]
                return
            except (OSError, AdminUnreachableError):
                if time.monotonic() > deadline:
                    raise
                time.sleep(POLL_S)

    def _serves(self, admin: str) -> bool:
        body = call_admin(admin, "GET", "status").body
        primary = body["services"].get(SERVICE, {}).get("primary")
        return bool(primary) and bool(body["ready"])

    def find_primary(self) -> tuple[int, int]:
        """Return the place and term of the primary of the highest term that answers."""
        found = (0, -1)
        for place, audit in enumerate(self.instance_admins):
            shown = self.fetch_instance_state(audit)
            if shown["role"] == "primary" and int(shown["term"]) > found[1]:
                found = (place, int(shown["term"]))
        return found

    def fetch_instance_state(self, address: str) -> dict[str, str]:
        """Return an instance's audit without its log; a paused one is a replica of term 0."""
        try:
            with urlopen(f"http://{address}/?brief=1", timeout=0.5) as response:
                shown = json.load(response)
        except OSError:
            return {"role": "replica", "term": "0", "slots_exceeded": "0"}
        return {key: str(value) for key, value in shown.items() if key != "log"}

    def signal_instance(self, place: int, number: signal.Signals) -> None:
        """Send a signal to an instance."""
        os.kill(self.instance_pids[place], number)

    def cpu_seconds(self) -> float:
        """Return the processor time of all proxies so far."""
        times = [psutil.Process(pid).cpu_times() for pid in self.proxy_pids]
        return float(sum(time.user + time.system for time in times))

    def resident_bytes(self, place: int) -> int:
        """Return the resident memory of a proxy in bytes."""
        return int(psutil.Process(self.proxy_pids[place]).memory_info().rss)

    def sum_metric(self, name: str) -> float:
        """Return the sum of a metric over all proxies and labels."""
        total = 0.0
        for admin in self.proxy_admins:
            text = str(call_admin_text(admin, "GET", "metrics").body)
            for family in text_string_to_metric_families(text):
                total += sum(s.value for s in family.samples if s.name == name)
        return total
