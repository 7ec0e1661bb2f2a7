"""Proxies as real processes, and the signals they get."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from orioleplank.soak._faulty_link import FaultyLink

# Seconds between a request to end and the kill.
GRACE_S = 4.0
# Pause before a process that has ended is started again, in seconds.
RESTART_S = 0.4
# An interpreter that has just begun cannot ignore a signal yet; reloads are asked for later.
INTERPRETER_S = 0.3
# Pause between looks at a process, in seconds.
LOOK_S = 0.1
CALLERS_PORT, READINESS_PORT, PEERS_PORT = 8784, 8785, 7440


@dataclass(frozen=True, slots=True)
class ProxyAddresses:
    """Where one proxy is, and where it finds the platform."""

    # Its own address.
    ip: str
    # Its availability zone.
    zone: str
    # The platform's store, through the proxy's own faulty link.
    store: str
    # The platform's call for promotions.
    promotions: str


class ProxyProcess:
    """One proxy; it is started again whenever it has ended."""

    def __init__(self, reactor: Any, name: str, addresses: ProxyAddresses, directory: Path) -> None:
        self.name = name
        self.addresses = addresses
        # Between the proxy and the store; set by whoever builds both.
        self.store_link: FaultyLink | None = None
        self.start_count = 0
        # Ends that no signal of the soak explains.
        self.unexpected_exit_codes: list[int] = []
        self._reactor = reactor
        self._directory = directory
        self._process: subprocess.Popen[bytes] | None = None
        self._is_wanted = False
        self._is_frozen = False
        self._is_signalled = False
        self._spawned_at = 0.0

    @property
    def alive(self) -> bool:
        """Tell whether its process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def paused(self) -> bool:
        """Tell whether its process is paused."""
        return self._is_frozen

    @property
    def log_path(self) -> Path:
        """Return the file with what it writes."""
        return self._directory / f"{self.name}.log"

    def start(self) -> None:
        """Start the process, and again whenever it ends."""
        self._is_wanted = True
        self._write_settings()
        self._spawn()
        self._look()

    def stop(self) -> None:
        """End the process for good."""
        self._is_wanted = False
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is None or self._process.poll() is not None:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._is_signalled = True
        if number is signal.SIGHUP and self._reactor.seconds() - self._spawned_at < INTERPRETER_S:
            return
        self._process.send_signal(number)

    def kill(self) -> None:
        """End the process without a word."""
        self.resume()
        self.send_signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Ask the process to end, and kill it after its grace."""
        process = self._process
        self.send_signal(signal.SIGTERM)

        def enforce() -> None:
            if process is self._process and self.alive:
                self.kill()

        self._reactor.callLater(GRACE_S, enforce)

    def pause(self, seconds: float) -> None:
        """Pause the process for a while."""
        if self._is_frozen:
            return
        self._is_frozen = True
        self.send_signal(signal.SIGSTOP)
        self._reactor.callLater(seconds, self.resume)

    def resume(self) -> None:
        """Let the process go on."""
        if self._is_frozen:
            self._is_frozen = False
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
            "bounds": {"graceS": GRACE_S},
        }
        (self._directory / f"{self.name}.json").write_text(json.dumps(settings))

    def _spawn(self) -> None:
        self.start_count += 1
        self._is_signalled = False
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

    def _look(self) -> None:
        if not self._is_wanted:
            return
        if self.alive:
            self._reactor.callLater(LOOK_S, self._look)
            return
        assert self._process is not None
        if not self._is_signalled:
            self.unexpected_exit_codes.append(self._process.returncode)
        self._is_frozen = False
        self._reactor.callLater(RESTART_S, self._start_again)

    def _start_again(self) -> None:
        if self._is_wanted:
            self._spawn()
            self._look()
