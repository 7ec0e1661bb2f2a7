"""A small deployment on loopback: proxies as separate processes, and stand-ins for the rest."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from review.standin.instances import Group, Instance
from review.standin.store import Store, serve_http

REPOSITORY = Path(__file__).resolve().parents[2]
GRACE_S = 6.0
ZONES = {"akl-a": "akl", "wlg-a": "wlg", "chc-a": "chc"}
# Time that a process has to become ready, in seconds.
READY_TIMEOUT_S = 15.0
HEARTBEAT_MS = 1200
# Longest run of a scenario, in seconds.
RUN_LIMIT_S = 110.0


class CannotRunError(Exception):
    """The case cannot run here."""


@dataclass(frozen=True)
class Reply:
    """A reply to one request, as a client sees it."""

    request: str
    # Rows, signature and code; no signature and no code means that the connection broke.
    rows: tuple[str, ...]
    signature: str
    code: str
    state: str
    position: str
    # When the first byte was sent and when the reply was complete, in seconds.
    sent_at: float
    replied_at: float

    @property
    def ok(self) -> bool:
        """True if the request succeeded."""
        return bool(self.signature)


class Proxy:
    """One proxy process, started with the command of the deploy file."""

    def __init__(self, deployment: Deployment, number: int, zone: str) -> None:
        self.deployment = deployment
        self.name = f"frontend-{zone}-{number}"
        self.zone = zone
        self.ip = f"{deployment.subnet}.{10 + number}"
        self.front, self.ready, self.control = deployment.free_ports(3)
        self.process: subprocess.Popen[bytes] | None = None
        # All processes that were started, the present one last.
        self.started: list[subprocess.Popen[bytes]] = []
        # Address of the store as this proxy knows it; a link may stand between.
        self.store_address = ""

    @property
    def log_path(self) -> Path:
        """The file with the output of its processes."""
        return self.deployment.folder / f"{self.name}.log"

    def settings(self) -> dict[str, Any]:
        """Its settings, as on the platform."""
        deployment = self.deployment
        return {
            "nodeName": self.name,
            "role": "proxy",
            "machineClass": "frontend",
            "serves": ["frontend"],
            "ip": self.ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen": {
                "front": f"{self.ip}:{self.front}",
                "ready": f"{self.ip}:{self.ready}",
                "control": f"{self.ip}:{self.control}",
            },
            "internalPorts": [deployment.internal_port, deployment.internal_port + 15],
            "seedNodes": [],
            "bootstrap": True,
            "lossCounts": False,
            "limits": {"cpuShare": 0.537, "cpuCores": 2, "memoryMb": 300, "maxFds": 4300},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {
                "contactMs": 5000,
                "drainMs": 7000,
                "graceS": GRACE_S,
                "lossSlackMs": 200,
                "configApplyMs": 3000,
                "downgradeMs": 250,
                "recoveryS": 12,
                "requireFencing": False,
                "thawSlackMs": 300,
            },
            "platform": {"address": self.store_address, "form": "objects", "historyS": 20},
            "cloud": {"address": deployment.cloud_address, "duties": ["failover"]},
        }

    def start(self) -> None:
        """Start the process."""
        path = self.deployment.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = kept | {
            "ORIOLEPLANK_SETTINGS": str(path),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self.deployment.command,
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.started.append(self.process)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.deployment.log(f"{self.name} gets {number.name}")

    def events(self, *names: str) -> list[dict[str, Any]]:
        """Return the logged events with one of the names."""
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            if line.startswith("{"):
                event = json.loads(line)
                if event.get("name") in names:
                    found.append(event)
        return found

    async def wait_until_ready(self) -> None:
        """Return once the process reports that it is ready."""
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready")

    async def is_ready(self) -> bool:
        """Ask the process whether it is ready."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /orioleplank/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False


class Client:
    """One session at a proxy."""

    def __init__(self, deployment: Deployment, proxy: Proxy, database: str) -> None:
        self._deployment, self._proxy, self._database = deployment, proxy, database
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> bool:
        """Open the session; False if it is refused or cannot be opened."""
        try:
            self._reader, self._writer = await asyncio.open_connection(
                self._proxy.ip, self._proxy.front, limit=1 << 21
            )
            self._writer.write(f"STARTUP {self._database} u1\r\n".encode())
            line = await asyncio.wait_for(self._reader.readline(), 3.0)
        except (OSError, TimeoutError):
            return False
        return line.startswith(b"READY")

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def wait_for_close(self, seconds: float) -> bool:
        """Wait while no request is outstanding; return True if the proxy closes the session."""
        assert self._reader is not None
        try:
            return not await asyncio.wait_for(self._reader.read(1), seconds)
        except TimeoutError:
            return False
        except OSError:
            return True

    async def query(self, text: str, timeout: float = 12.0, request: str = "") -> Reply:
        """Send a request and wait for its reply."""
        assert self._reader is not None and self._writer is not None
        request = request or f"{random.getrandbits(64):016x}"
        self._deployment.requests[request] = text
        sent_at = time.monotonic()
        self._deployment.log(f"client to {self._proxy.name}: {request} {text}")
        rows: list[str] = []
        signature = code = state = position = ""
        try:
            self._writer.write(f"QUERY {request} {text}\r\n".encode())
            while True:
                raw = await asyncio.wait_for(self._reader.readline(), timeout)
                if not raw:
                    signature = code = ""
                    break
                word, _, rest = raw.decode("latin-1").rstrip("\r\n").partition(" ")
                if word == "DATAROW":
                    rows.append(rest)
                elif word == "COMPLETE":
                    signature = rest
                elif word == "ERROR":
                    code = rest
                elif word == "READY":
                    state, _, position = rest.partition(" ")
                    break
        except (OSError, TimeoutError):
            signature = code = ""
        reply = Reply(
            request, tuple(rows), signature, code, state, position, sent_at, time.monotonic()
        )
        answer = signature or code or "no answer"
        self._deployment.log(f"answer to {request}: {' '.join(rows)} {answer} {state} {position}")
        return reply


class Deployment:
    """The stand-ins and the proxies of one run."""

    def __init__(self, record: Path, service: str = "quotebook7f") -> None:
        self._record = record.open("w")
        self._started_at = time.monotonic()
        self.subnet = f"127.{random.randrange(20, 220)}.{random.randrange(1, 250)}"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["proxy"]["run"].split()
        self.service = service
        self.internal_port = self.free_internal_port()
        self.cloud_address = ""
        # Connections that an instance accepts.
        self.max_connections = 33
        self.store = Store(self.log)
        self.proxies: list[Proxy] = []
        # Texts of all requests that clients have sent, by id.
        self.requests: dict[str, str] = {}
        # Ids of all requests that an instance has run.
        self.run_ids: set[str] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._config: dict[str, Any] = {}

    def log(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{time.monotonic() - self._started_at:9.3f} {text}\n")
        self._record.flush()

    def run(self, coroutine: Any) -> asyncio.Task[Any]:
        """Run a coroutine beside the others."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def free_ports(self, count: int) -> list[int]:
        """Return ports that are free now."""
        sockets = [socket.socket() for _ in range(count)]
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        ports = [item.getsockname()[1] for item in sockets]
        for item in sockets:
            item.close()
        return ports

    def free_internal_port(self) -> int:
        """Return the first of 16 ports that the proxies use among themselves."""
        return random.randrange(10_000, 30_000)

    async def start(
        self, instances: list[Instance], sync: int = 0, proxies: tuple[str, ...] = tuple(ZONES)
    ) -> Group:
        """Start store, platform, instances and proxies; return once all are ready."""
        host = f"{self.subnet}.200"
        _, store_port = await serve_http(host, self.store.handle)
        self.store_address = f"{host}:{store_port}"
        group = Group(self.service, instances, sync, self.log)
        self.group = group
        _, cloud_port = await serve_http(host, self._handle_order)
        self.cloud_address = f"{host}:{cloud_port}"
        for instance in instances:
            await group.listen(instance)
            self.publish(instance)
        group.max_connections = self.max_connections
        group.on_change = self.publish
        group.on_run = self._note_run
        self.put_config(1, sync)
        for number, zone in enumerate(proxies):
            proxy = Proxy(self, number, zone)
            proxy.store_address = self.store_address
            self.proxies.append(proxy)
        await self.before_start()
        for proxy in self.proxies:
            proxy.start()
        for proxy in self.proxies:
            await proxy.wait_until_ready()
        return group

    def _note_run(self, instance: Instance, request: str, text: str) -> None:
        if request != "-":
            self.run_ids.add(request)
            self.log(f"{instance.id} runs {request} {text}")

    async def before_start(self) -> None:
        """Prepare links before the proxies start."""

    async def _handle_order(self, _: str, __: str, headers: dict[str, str], body: bytes) -> Any:
        data = json.loads(body)
        holder = headers.get("x-orioleplank-lease-holder", "")
        token = int(headers.get("x-orioleplank-fencing-token", "0"))
        code = self.group.order(holder, token, data["id"])
        if code == 200:
            await self.group.on_order(holder)
        return code, {}, b"{}"

    def publish(self, instance: Instance) -> None:
        """Write the entry of an instance to the store, if the store is there."""
        if self.store.is_down:
            return
        if not instance.alive:
            self.store.delete("servers", instance.id)
            return
        entry = {
            "service": self.service,
            "address": f"{instance.host}:{instance.port}",
            "zone": instance.zone,
            "version": "v1",
            "capacity": instance.slots,
            "state": instance.state,
            "warmupLeftMs": 0,
            "dbRole": instance.role,
            "sequence": 1,
            "born": instance.born,
        }
        self.log(f"store: {instance.id} is {instance.state} {instance.role}")
        self.store.put("servers", instance.id, entry)

    def put_config(self, version: int, sync: int = 0, **routes: dict[str, Any] | None) -> None:
        """Write the configuration as the operator does."""
        default: dict[str, dict[str, Any] | None] = {
            "saves": {"type": "primary", "timeoutMs": 1000, "priority": 1},
            "looks": {"type": "bounded_staleness", "timeoutMs": 3000, "maxStalenessMs": 1500},
            "syncs": {"type": "read_your_writes", "timeoutMs": 1000, "maxStalenessMs": 2500},
        }
        listed = []
        for name, fields in (default | routes).items():
            if fields is not None:
                base = {"name": f"r-{name}", "host": name, "pathPrefix": "/", "priority": 2}
                base |= {"targetLatencyMs": 500, "service": self.service, "maxAttempts": 2}
                listed.append(base | fields)
        service = {"name": self.service, "healthPath": "/health", "maxConns": self.max_connections}
        service |= {"protocol": "h1", "tls": False, "syncReplicas": sync}
        limits = {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000}
        self._config = {"version": version, "routes": listed, "services": [service]}
        self._config["limits"] = limits
        self.store.put("config", "main", self._config)
        self.log(f"store: configuration {version} acknowledged")

    def restore_store(self, seconds: float) -> None:
        """Let the store come back from a copy; operator and instances write again."""
        self.store.is_down = False
        self.store.restore(seconds)
        self.store.put("config", "main", self._config)
        for instance in self.group.instances.values():
            self.publish(instance)

    def stop(self) -> None:
        """End all processes that were started."""
        for process in [process for proxy in self.proxies for process in proxy.started]:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for proxy in self.proxies:
            for event in proxy.events("move", "group", "lease", "suspicion", "stopping"):
                shown = {key: event[key] for key in event if key not in ("time", "event")}
                self.log(f"log of {proxy.name}: {json.dumps(shown)}")
        if "KEEP" in os.environ:
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()


def build_instances(subnet: str) -> list[Instance]:
    """Return three instances, one a zone; the first one leads."""
    zones = list(ZONES)
    return [
        Instance(f"i-{name}{random.getrandbits(24):06x}", zone, f"{subnet}.{100 + number}")
        for number, (name, zone) in enumerate(zip("abc", zones, strict=True))
    ]


def run_case(
    record: Path, trouble: bool, scenario: Callable[[Deployment, bool], Awaitable[list[str]]]
) -> None:
    """Run a scenario, with its disruption if `trouble`; exit with 0, 1 or 2.

    `record` receives what was sent, answered and run.
    """

    async def run() -> None:
        deployment = Deployment(record)
        try:
            found = await asyncio.wait_for(scenario(deployment, trouble), RUN_LIMIT_S)
            for text in found:
                deployment.log(f"BROKEN {text}")
                print(text)
            deployment.log("the rule was broken" if found else "the rule held")
            code = 1 if found else 0
        except Exception as error:
            deployment.log(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}", file=sys.stderr)
            code = 2
        deployment.stop()
        sys.stdout.flush()
        # Connections of the stand-ins may still be open; they need no orderly end.
        os._exit(code)

    asyncio.run(run())
