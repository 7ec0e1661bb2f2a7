"""Runs proxies as real processes and sends them signals."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from orioleplank._logs import read_logs
from orioleplank.gateway import EventType
from orioleplank.soak._faulty_link import FaultyLink

# Time between SIGTERM and SIGKILL; it is the grace of the proxy's settings too.
TERMINATION_GRACE_S = 4.0
# Pause before an ended process is restarted.
RESTART_DELAY_S = 0.4
# SIGHUP ends an interpreter that is still starting, so no reload is sent before this time.
MIN_RELOAD_AGE_S = 0.3
PROCESS_POLL_INTERVAL_S = 0.1
CALLERS_PORT, READINESS_PORT, PEERS_PORT = 8784, 8785, 7440


@dataclass(frozen=True, slots=True)
class ProxyAddresses:
    """The address and zone of one proxy, and the addresses at which it reaches the platform."""

    # Address that the proxy listens at.
    ip: str
    # Availability zone of the proxy.
    zone: str
    # HOST:PORT of the platform's store, through the proxy's own faulty link.
    store: str
    # HOST:PORT of the platform's promotion call.
    promotions: str


class ProxyProcess:
    """One proxy process; it is restarted each time it ends."""

    def __init__(self, reactor: Any, name: str, addresses: ProxyAddresses, directory: Path) -> None:
        self.name = name
        self.addresses = addresses
        # Link between the proxy and the store; set after construction.
        self.store_link: FaultyLink | None = None
        self.start_count = 0
        # Exit codes of processes that ended without a signal from the soak.
        self.unexpected_exit_codes: list[int] = []
        self._reactor = reactor
        self._directory = directory
        self._process: subprocess.Popen[bytes] | None = None
        self._should_run = False
        self._is_paused = False
        self._is_exit_expected = False
        self._spawned_at = 0.0

    @property
    def alive(self) -> bool:
        """True while the process exists, paused or not."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """The id of the running process."""
        assert self._process is not None
        return self._process.pid

    @property
    def paused(self) -> bool:
        """True between a pause and the next resume."""
        return self._is_paused

    @property
    def log_path(self) -> Path:
        """The file that receives the output of all its processes."""
        return self._directory / f"{self.name}.log"

    def start(self) -> None:
        """Write the settings and start the process; it is restarted each time it ends."""
        self._should_run = True
        self._write_settings()
        self._spawn()
        self._watch_process()

    def stop(self) -> None:
        """Kill the process and do not restart it."""
        self._should_run = False
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs; skip a SIGHUP too soon after its start."""
        if self._process is None or self._process.poll() is not None:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._is_exit_expected = True
        if (
            number is signal.SIGHUP
            and self._reactor.seconds() - self._spawned_at < MIN_RELOAD_AGE_S
        ):
            return
        self._process.send_signal(number)

    def find_last_version(self) -> int:
        """Return the version of the configuration that the proxy logged last; 0 if none."""
        versions = [
            line.fields.get("version")
            for line in read_logs([self.log_path]).lines
            if line.event == EventType.ROUTES.value
        ]
        last = versions[-1] if versions else 0
        return last if isinstance(last, int) else 0

    def kill(self) -> None:
        """Kill the process with SIGKILL, resuming it first if it is paused."""
        self.resume()
        self.send_signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL if the process still runs after its grace period."""
        process = self._process
        self.send_signal(signal.SIGTERM)

        def kill_if_running() -> None:
            if process is self._process and self.alive:
                self.kill()

        self._reactor.callLater(TERMINATION_GRACE_S, kill_if_running)

    def pause(self, seconds: float) -> None:
        """Pause the process with SIGSTOP for a time in seconds."""
        if self._is_paused:
            return
        self._is_paused = True
        self.send_signal(signal.SIGSTOP)
        self._reactor.callLater(seconds, self.resume)

    def resume(self) -> None:
        """Resume a paused process with SIGCONT."""
        if self._is_paused:
            self._is_paused = False
            self.send_signal(signal.SIGCONT)

    def _write_settings(self) -> None:
        addresses = self.addresses
        settings = {
            "nodeName": self.name,
            "ip": addresses.ip,
            "zone": addresses.zone,
            "listen": {
                "front": f"{addresses.ip}:{CALLERS_PORT}",
                "ready": f"{addresses.ip}:{READINESS_PORT}",
            },
            "internalPorts": [PEERS_PORT, PEERS_PORT + 15],
            "platform": {"address": addresses.store},
            "cloud": {"address": addresses.promotions},
            "bounds": {"graceS": TERMINATION_GRACE_S},
        }
        (self._directory / f"{self.name}.json").write_text(json.dumps(settings))

    def _spawn(self) -> None:
        self.start_count += 1
        self._is_exit_expected = False
        self._spawned_at = self._reactor.seconds()
        environment = {
            **os.environ,
            "ORIOLEPLANK_SETTINGS": str(self._directory / f"{self.name}.json"),
        }
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "orioleplank.platform"],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environment,
            )

    def _watch_process(self) -> None:
        if not self._should_run:
            return
        if self.alive:
            self._reactor.callLater(PROCESS_POLL_INTERVAL_S, self._watch_process)
            return
        assert self._process is not None
        if not self._is_exit_expected:
            self.unexpected_exit_codes.append(self._process.returncode)
        self._is_paused = False
        self._reactor.callLater(RESTART_DELAY_S, self._restart)

    def _restart(self) -> None:
        if self._should_run:
            self._spawn()
            self._watch_process()
