"""A small deployment on loopback: proxies as separate processes, with the stand-ins around them."""

from __future__ import annotations

import asyncio
import json
import os
import random
import resource
import shutil
import signal
import subprocess
import tempfile
import time
from pathlib import Path
from typing import Any, TextIO

from review.standin2.instances import Group
from review.standin2.store import ENDS, Store

ROOT = Path(__file__).resolve().parents[2]
SAMPLE_INTERVAL_S = 0.02
RESTART_DELAY_S = 0.5
MIB = 1024 * 1024


class CaseInvalidError(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to the file of a case."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line with the seconds since the beginning."""
        self._file.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Proxy:
    """One machine of the system: starts its process again whenever it ends, as the platform does.

    A process that exceeds the machine's memory is killed.
    """

    def __init__(self, deployment: Deployment, number: int) -> None:
        self.deployment = deployment
        self.name = f"frontend-{number}"
        self.ip = f"{deployment.subnet}.{number}"
        self.zone = f"z-{'abc'[(number - 1) % 3]}"
        self.process: subprocess.Popen[bytes] | None = None
        self.peak_mb = 0.0
        # Why the process was ended or ended itself, in order.
        self.ends: list[str] = []
        self.starts = 0
        self.should_run = False
        self._expected_end = ""

    @property
    def front(self) -> tuple[str, int]:
        """The address for callers."""
        return self.ip, 8784

    @property
    def log_path(self) -> Path:
        """Where the output of the processes goes."""
        return self.deployment.folder / f"{self.name}.log"

    def spawn(self) -> None:
        """Start a process with the command of the deploy file."""
        path = self.deployment.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.deployment.build_settings(self)))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["ORIOLEPLANK_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        limit = int(self.deployment.machine["maxFds"])
        self._expected_end = ""
        self.starts += 1
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "orioleplank.platform"],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environment,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)),
            )
        self.deployment.record.add(f"{self.name} starts, process number {self.starts}")

    async def keep_running(self) -> None:
        """Start the process, watch its memory, and start it again when it ends."""
        limit_mb = float(self.deployment.machine["memoryMb"])
        while self.should_run:
            self.spawn()
            assert self.process is not None
            while self.process.poll() is None:
                memory = self.measure_mb()
                self.peak_mb = max(self.peak_mb, memory)
                if memory > limit_mb:
                    self.deployment.record.add(
                        f"platform kills {self.name}: {memory:.0f} MB of {limit_mb:.0f} MB"
                    )
                    self._expected_end = "memory over the limit"
                    self.process.kill()
                    self.process.wait()
                    break
                await asyncio.sleep(SAMPLE_INTERVAL_S)
            why = self._expected_end or f"it ended by itself with {self.process.returncode}"
            if self.should_run:
                self.ends.append(why)
                self.deployment.record.add(f"{self.name} has ended: {why}")
                await asyncio.sleep(RESTART_DELAY_S)

    def measure_mb(self) -> float:
        """Return the resident memory of the process in MB of 2**20 bytes."""
        assert self.process is not None
        try:
            fields = Path(f"/proc/{self.process.pid}/statm").read_text().split()
        except (OSError, IndexError):
            return 0.0
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / MIB if len(fields) > 1 else 0.0

    def send_signal(self, number: signal.Signals, expected_end: str = "") -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._expected_end = expected_end
        self.process.send_signal(number)

    def stop(self) -> None:
        """Kill the process for good."""
        self.should_run = False
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Deployment:
    """The processes and stand-ins of one case."""

    def __init__(self, record: Record, proxies: int, **settings: Any) -> None:
        self.record = record
        self.machine: dict[str, Any] = {"memoryMb": 300, "maxFds": 4300, "linkMbps": 1000.0}
        self.machine |= settings.pop("machine", {})
        self.services: int = settings.pop("services", 1)
        # First and last port for communication between the machines.
        self.internal_ports: tuple[int, int] = settings.pop("internal_ports", (7440, 7455))
        self.subnet = f"127.{random.randrange(20, 220)}.{random.randrange(1, 250)}"
        self.host = f"{self.subnet}.200"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.groups = [Group(self.store, f"svc{n}", **settings) for n in range(self.services)]
        self.proxies = [Proxy(self, number) for number in range(1, proxies + 1)]
        self.version = 1
        self.dropped_routes: set[str] = set()
        self._servers: list[asyncio.Server] = []
        self._watches: list[asyncio.Task[None]] = []

    @property
    def group(self) -> Group:
        """The first service."""
        return self.groups[0]

    async def start(self) -> None:
        """Start the stand-ins and the proxies."""
        self._servers.append(await asyncio.start_server(self.store.serve, self.host, 8783))
        self._servers.append(
            await asyncio.start_server(self._serve_cloud, self.host, 8790, backlog=100)
        )
        for number, group in enumerate(self.groups):
            for index in range(3):
                host = f"{self.subnet}.{210 + index}"
                role = "primary" if index == 0 else "replica"
                name = f"i-{number}{index}{random.randrange(16**6):06x}"
                instance = group.add(name, (host, 8100 + number), f"z-{'abc'[index]}", role)
                await instance.start()
        self.write_config()
        for proxy in self.proxies:
            self.start_proxy(proxy)

    def start_proxy(self, proxy: Proxy) -> None:
        """Start a proxy, and keep it running."""
        proxy.should_run = True
        self._watches.append(asyncio.ensure_future(proxy.keep_running()))

    async def _serve_cloud(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            length = int(head.partition("content-length:")[2].partition("\r\n")[0] or 0)
            body = json.loads(await reader.readexactly(length))
            found = [group for group in self.groups if group.service == body["service"]]
            code = found[0].order(body["id"]) if found else 404
            self.record.add(f"POST /failover {body} -> {code}")
            writer.write(f"HTTP/1.1 {code} -\r\nContent-Length: 2\r\n\r\n{{}}".encode())
            await writer.drain()
        except (asyncio.IncompleteReadError, ValueError, *ENDS):
            pass
        finally:
            writer.close()

    def write_config(self) -> None:
        """Write the configuration as the operator does."""
        routes = []
        for number, group in enumerate(self.groups):
            for kind, name, timeout, stale in (
                ("primary", "save", 1000, None),
                ("bounded_staleness", "look", 3000, 1500),
                ("read_your_writes", "sync", 1000, 2500),
            ):
                host = f"{name}{number}"
                if host in self.dropped_routes:
                    continue
                route = {
                    "name": f"r-{host}",
                    "host": host,
                    "pathPrefix": "/",
                    "type": kind,
                    "timeoutMs": timeout,
                    "targetLatencyMs": 1000,
                    "priority": 1,
                    "service": group.service,
                    "maxAttempts": 2,
                }
                routes.append(route if stale is None else {**route, "maxStalenessMs": stale})
        services = [
            {
                "name": group.service,
                "healthPath": "/health",
                "maxConns": group.max_connections,
                "protocol": "h1",
                "tls": False,
                "syncReplicas": 0,
            }
            for group in self.groups
        ]
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "txIdleMs": 3000,
        }
        spec = {"version": self.version, "routes": routes, "services": services, "limits": limits}
        self.store.put("config", "main", spec)

    def build_settings(self, proxy: Proxy) -> dict[str, Any]:
        """Return the settings file of a proxy."""
        return {
            "nodeName": proxy.name,
            "role": "proxy",
            "machineClass": "frontend",
            "serves": ["frontend"],
            "ip": proxy.ip,
            "zone": proxy.zone,
            "region": proxy.zone,
            "zones": {zone: zone for zone in ("z-a", "z-b", "z-c")},
            "listen": {"front": f"{proxy.ip}:8784", "ready": f"{proxy.ip}:8785"},
            "internalPorts": list(self.internal_ports),
            "seedNodes": [],
            "bootstrap": proxy.starts == 0,
            "lossCounts": False,
            "limits": {"cpuShare": 0.537, "cpuCores": 2, **self.machine, "diskMb": 0},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "bounds": {"contactMs": 5000, "drainMs": 7000, "graceS": 6, "configApplyMs": 3000},
            "platform": {"address": f"{self.host}:8783", "form": "objects"},
            "cloud": {"address": f"{self.host}:8790", "duties": ["failover"], "dutyPerS": 50.0},
        }

    def list_ends(self) -> list[str]:
        """Return why processes have ended, at all machines."""
        return [f"{proxy.name}: {end}" for proxy in self.proxies for end in proxy.ends]

    async def is_ready(self, proxy: Proxy) -> bool:
        """Return whether a proxy answers the readiness question with 200."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(proxy.ip, 8785), 1.0)
            writer.write(b"GET /orioleplank/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_until_ready(self, seconds: float = 20.0) -> None:
        """Wait until all proxies that run are ready and serve a write."""
        deadline = time.monotonic() + seconds
        for proxy in self.proxies:
            if not proxy.should_run:
                continue
            while not (await self.is_ready(proxy) and await self.serves(proxy)):
                if time.monotonic() > deadline:
                    raise CaseInvalidError(f"{proxy.name} does not serve")
                await asyncio.sleep(0.1)

    async def serves(self, proxy: Proxy) -> bool:
        """Return whether a proxy serves one read of an ordinary session."""
        try:
            async with Client(self, proxy, "save0") as client:
                rows, failure = await client.ask("READ probe")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return not failure and len(rows) == 1

    async def stop(self) -> None:
        """End everything."""
        for proxy in self.proxies:
            proxy.stop()
        for server in self._servers:
            server.close()
        for group in self.groups:
            for instance in group.instances.values():
                await instance.crash()
        for task in self._watches:
            task.cancel()
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A session of a client; statements get ids of their own."""

    numbers = iter(range(1, 10**9))

    def __init__(
        self, deployment: Deployment, proxy: Proxy, database: str, who: str = "u1", wait: float = 5
    ) -> None:
        self._deployment = deployment
        self._proxy = proxy
        self._database = database
        self._who = who
        self._wait = wait
        self.state = "I"
        self.last_id = ""
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def __aenter__(self) -> Client:
        await self.open()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.close()

    async def open(self) -> None:
        """Open the session; raise `ConnectionError` if it is refused."""
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self._proxy.front, limit=4 * MIB), 2.0
        )
        self.writer.write(f"STARTUP {self._database} {self._who}\r\n".encode("latin-1"))
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2.0)
        if not line.startswith(b"READY"):
            self.close()
            raise ConnectionError(line[:80].decode("latin-1"))

    async def ask(self, text: str) -> tuple[list[str], str]:
        """Send a statement; return its rows, and its error or an empty text."""
        assert self.reader is not None and self.writer is not None
        self.last_id = f"q{next(Client.numbers):07x}"
        self.writer.write(f"QUERY {self.last_id} {text}\r\n".encode("latin-1"))
        rows, failure = [], ""
        while True:
            line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), self._wait)
            word, _, rest = line[:-2].decode("latin-1").partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "ERROR":
                failure = rest
            elif word == "READY":
                self.state = rest[:1]
                return rows, failure

    def close(self) -> None:
        """Close the session."""
        if self.writer is not None:
            self.writer.close()
