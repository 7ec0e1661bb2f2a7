"""One real proxy on loopback with stand-ins around it; watches its memory and descriptors."""

from __future__ import annotations

import json
import os
import resource
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from threading import Event, Thread
from typing import Any

import psutil

from orioleplank.tests._misbehaving_platform import PROMOTIONS_PORT, STORE_PORT

CALLERS_PORT, READINESS_PORT, PEERS_PORT = 8784, 8785, 7440
TUNNEL_PORT, CHANNEL_PORT = PEERS_PORT + 2, PEERS_PORT + 3
SAMPLE_INTERVAL_S = 0.02
# Guards against a hang only; an ordinary request is answered within milliseconds.
ANSWER_TIMEOUT_S = 20.0
START_TIMEOUT_S = 20.0
# Descriptors that the process of the proxy may open; the smallest machine has more.
DESCRIPTOR_LIMIT = 1200


class Deployment:
    """The processes of one test."""

    def __init__(self, directory: Path, settings: dict[str, object]) -> None:
        self._directory = directory
        self._settings = settings
        # Each process of tests has a subnet of its own.
        self._subnet = f"127.{20 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}"
        self.ip = f"{self._subnet}.1"
        self._platform: subprocess.Popen[bytes] | None = None
        self._proxy: subprocess.Popen[bytes] | None = None
        self._has_ended = Event()
        self._sampler = Thread(target=self._sample, daemon=True)
        self.peak_memory_mb = 0.0
        self.peak_descriptors = 0

    def start(self) -> None:
        """Start the stand-ins and the proxy; return once an ordinary request is answered."""
        self._platform = subprocess.Popen(
            [sys.executable, "-m", "orioleplank.tests._misbehaving_platform", self._subnet],
            stdout=subprocess.PIPE,
        )
        assert self._platform.stdout is not None
        assert self._platform.stdout.readline() == b"READY\n"
        path = self._directory / "proxy.json"
        path.write_text(json.dumps(self._build_settings()))
        with (self._directory / "proxy.log").open("wb") as log:
            self._proxy = subprocess.Popen(
                [sys.executable, "-m", "orioleplank.platform"],
                stdout=log,
                stderr=log,
                env={**os.environ, "ORIOLEPLANK_SETTINGS": str(path)},
                preexec_fn=_limit_descriptors,
            )
        deadline = time.monotonic() + START_TIMEOUT_S
        while not self.serves_ordinary_request(1.0):
            assert time.monotonic() < deadline, "the proxy did not start to serve"
            time.sleep(0.1)
        self._sampler.start()

    def stop(self) -> None:
        """End both processes."""
        self._has_ended.set()
        for process in (self._proxy, self._platform):
            if process is not None:
                process.kill()
                process.wait()
        if self._platform is not None and self._platform.stdout is not None:
            self._platform.stdout.close()

    @property
    def is_alive(self) -> bool:
        """True while the process of the proxy runs."""
        return self._proxy is not None and self._proxy.poll() is None

    def read_log(self) -> str:
        """Return what the proxy has logged."""
        return (self._directory / "proxy.log").read_text(errors="replace")

    def measure_peak_memory_mb(self) -> float:
        """Return the highest resident memory so far, as the system and the samples have it."""
        assert self._proxy is not None
        status = Path(f"/proc/{self._proxy.pid}/status").read_text()
        high_water = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return max(self.peak_memory_mb, int(high_water.split()[1]) / 1024)

    def serves_ordinary_request(self, timeout: float = ANSWER_TIMEOUT_S) -> bool:
        """Return whether a new session gets the answer to one read."""
        with suppress(OSError), self.connect() as caller:
            caller.settimeout(timeout)
            caller.sendall(b"STARTUP catalogue ordinary\r\nQUERY q1 READ a\r\n")
            received = b""
            deadline = time.monotonic() + timeout
            while time.monotonic() < deadline and received.count(b"READY") < 2:
                data = caller.recv(65536)
                if not data:
                    return False
                received += data
            return b"COMPLETE" in received and b"ERROR" not in received
        return False

    def connect(self, port: int = CALLERS_PORT, receive_buffer: int = 0) -> socket.socket:
        """Open a connection to a port of the proxy."""
        connection = socket.socket()
        if receive_buffer:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.settimeout(ANSWER_TIMEOUT_S)
        connection.connect((self.ip, port))
        return connection

    def wait_until(self, condition: Callable[[], bool], seconds: float) -> None:
        """Wait for a condition, for a time, or until the proxy has ended."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline and self.is_alive and not condition():
            time.sleep(SAMPLE_INTERVAL_S)

    def _build_settings(self) -> dict[str, Any]:
        host = f"{self._subnet}.200"
        return {
            "nodeName": "entry-1",
            "ip": self.ip,
            "zone": "zone-a",
            "listen": {
                "front": f"{self.ip}:{CALLERS_PORT}",
                "ready": f"{self.ip}:{READINESS_PORT}",
            },
            "internalPorts": [PEERS_PORT, PEERS_PORT + 15],
            "platform": {"address": f"{host}:{STORE_PORT}"},
            "cloud": {"address": f"{host}:{PROMOTIONS_PORT}"},
            **self._settings,
        }

    def _sample(self) -> None:
        assert self._proxy is not None
        process = psutil.Process(self._proxy.pid)
        with suppress(psutil.Error):
            while not self._has_ended.wait(SAMPLE_INTERVAL_S):
                self.peak_memory_mb = max(self.peak_memory_mb, process.memory_info().rss / 2**20)
                self.peak_descriptors = max(self.peak_descriptors, process.num_fds())


def _limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT))
