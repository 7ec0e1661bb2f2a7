"""Tests with a real proxy over loopback: crowds that could run it out of memory or descriptors.

Each test guards against one form of such a crowd. It checks that the process lives, that its memory
and open descriptors stay under a bound, and that an ordinary request is answered afterwards.
Crowds and bounds were fixed on the code without limits; see docs/design/misbehaving-callers.md.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory

import testtools

from orioleplank.tests._misbehaving_crowd import Crowd, flood
from orioleplank.tests._misbehaving_deployment import (
    CHANNEL_PORT,
    PEERS_PORT,
    READINESS_PORT,
    TUNNEL_PORT,
    Deployment,
)
from orioleplank.tests._misbehaving_platform import (
    ENDLESS_LINE,
    ENDLESS_ROWS,
    SEVERAL_LARGE_ROWS,
    SILENT_INSTANCE,
)

# Bounds of the process; it takes 46 MB and 23 descriptors once it serves.
MEMORY_BOUND_MB = 75.0
DESCRIPTOR_BOUND = 300
# An attack ends once the bound is exceeded this many times over.
CLEAR_EXCESS = 2.0
# Longest time of an attack.
ATTACK_S = 12.0
# Time for which the proxy is watched after the last byte was sent.
WATCH_S = 0.5

KIB, MIB = 1024, 1024 * 1024
LARGE_VALUE = b"v" * 900_000

# Limits far below the defaults, so that a small crowd reaches them.
SETTINGS: dict[str, object] = {
    "callerLimits": {
        "processBytes": 12 * MIB,
        "connections": 200,
        "peerConnections": 100,
        "peerChannels": 100,
        "sessionBytes": 2 * MIB,
        "replyBytes": 4 * MIB,
        "unreadBytes": 4 * MIB,
        "messageTimeoutS": 3.0,
        "unreadTimeoutS": 3.0,
    }
}


class MisbehavingTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.deployment = Deployment(Path(directory.name), SETTINGS)
        self.addCleanup(self.deployment.stop)
        self.deployment.start()

    def open_crowd(self, size: int, connect: Callable[..., object] | None = None) -> Crowd:
        """Open connections that are reset at the end of the test."""
        crowd = Crowd(connect or self.deployment.connect, size)  # type: ignore[arg-type]
        self.addCleanup(crowd.close)
        return crowd

    def open_port(self, port: int, size: int) -> Crowd:
        """Open connections to another port than that of the callers."""
        return self.open_crowd(size, partial(self.deployment.connect, port))

    def send(self, crowd: Crowd, data: bytes, piece: int = 65536) -> None:
        """Let a crowd send until it is done, stands still, or has clearly exceeded a bound."""
        crowd.send(data, self.is_clearly_exceeded, ATTACK_S, piece)
        self.deployment.wait_until(self.is_clearly_exceeded, WATCH_S)

    def is_clearly_exceeded(self) -> bool:
        """Return whether the memory of the proxy is far over its bound."""
        return self.deployment.peak_memory_mb > MEMORY_BOUND_MB * CLEAR_EXCESS

    def check(self) -> None:
        """Check that the proxy lives within its bounds and serves."""
        deployment = self.deployment
        is_alive = deployment.is_alive
        memory = deployment.measure_peak_memory_mb() if is_alive else -1.0
        is_serving = is_alive and deployment.serves_ordinary_request()
        measured = (
            f"alive {is_alive}, peak memory {memory:.0f} MB,"
            f" peak descriptors {deployment.peak_descriptors}, serves {is_serving}"
        )
        print(f"measured {self.id().rpartition('.')[2]}: {measured}")
        self.assertTrue(is_alive, measured)
        self.assertLess(memory, MEMORY_BOUND_MB, measured)
        self.assertLess(deployment.peak_descriptors, DESCRIPTOR_BOUND, measured)
        self.assertTrue(is_serving, measured)
        self.assertNotIn("Traceback", deployment.read_log())


class TestLargeMessages(MisbehavingTestCase):
    """Guards against bytes that are kept until the end of a message."""

    def test_many_legal_lines_that_never_end(self) -> None:
        self.send(self.open_crowd(180), LARGE_VALUE)
        self.check()

    def test_many_legal_lines_in_small_pieces_that_stop_half_way(self) -> None:
        self.send(self.open_crowd(180), LARGE_VALUE[:800_000], piece=8000)
        self.check()

    def test_lines_far_over_the_limit(self) -> None:
        self.send(self.open_crowd(190), b"x" * (3 * MIB))
        self.check()


class TestSessionState(MisbehavingTestCase):
    """Guards against values and prepared statements that live as long as their session."""

    def test_sessions_that_set_many_large_values(self) -> None:
        lines = [b"QUERY q%d SET n%d %s\r\n" % (n, n, LARGE_VALUE) for n in range(30)]
        self.send(self.open_crowd(8), b"STARTUP catalogue c\r\n" + b"".join(lines))
        self.check()

    def test_sessions_that_prepare_many_large_statements(self) -> None:
        lines = [b"QUERY q%d PREPARE n%d READ %s\r\n" % (n, n, LARGE_VALUE) for n in range(30)]
        self.send(self.open_crowd(8), b"STARTUP catalogue c\r\n" + b"".join(lines))
        self.check()


class TestRequestsSentAhead(MisbehavingTestCase):
    """Guards against requests that are read long before they can be handled."""

    def test_large_messages_sent_ahead(self) -> None:
        line = b"QUERY q READ " + LARGE_VALUE[:700_000] + b"\r\n"
        self.send(self.open_crowd(60), b"STARTUP catalogue c\r\n" + line * 12)
        self.check()

    def test_many_short_reads_sent_ahead_without_reading_the_answers(self) -> None:
        lines = b"QUERY 1 READ a\r\n" * 20_000
        self.send(self.open_crowd(180), b"STARTUP catalogue c\r\n" + lines)
        self.check()

    def test_many_short_reads_of_large_rows_without_reading_the_answers(self) -> None:
        lines = f"QUERY q READ {SEVERAL_LARGE_ROWS}\r\n".encode() * 2000
        self.send(self.open_crowd(60), b"STARTUP catalogue c\r\n" + lines)
        self.deployment.wait_until(self.is_clearly_exceeded, 4.0)
        self.check()

    def test_slow_readers_of_large_rows(self) -> None:
        connect = partial(self.deployment.connect, receive_buffer=4096)
        crowd = self.open_crowd(60, connect)
        lines = f"QUERY q READ {SEVERAL_LARGE_ROWS}\r\n".encode() * 4
        self.send(crowd, b"STARTUP catalogue c\r\n" + lines)
        crowd.read_slowly(2.0)
        self.check()


class TestConnections(MisbehavingTestCase):
    """Guards against connections that use up the descriptors of the process."""

    def test_more_silent_connections_than_the_limit(self) -> None:
        self.open_crowd(800)
        self.deployment.wait_until(lambda: False, WATCH_S)
        self.check()

    def test_more_idle_sessions_than_the_limit(self) -> None:
        self.send(self.open_crowd(800), b"STARTUP catalogue c\r\n")
        self.check()

    def test_flood_of_connections_that_are_reset(self) -> None:
        flood(self.deployment.connect, 4000)
        self.check()


class TestPeerPorts(MisbehavingTestCase):
    """Guards against peers that misbehave, and others that reach the internal ports."""

    def test_frames_that_never_end(self) -> None:
        frame = (2 * MIB).to_bytes(4, "big") + b"f" * (2 * MIB - 1)
        self.send(self.open_port(CHANNEL_PORT, 80), frame)
        self.check()

    def test_tunnels_that_send_before_the_instance_is_connected(self) -> None:
        data = f"{SILENT_INSTANCE}\r\n".encode() + b"t" * (4 * MIB)
        self.send(self.open_port(TUNNEL_PORT, 60), data)
        self.check()

    def test_more_silent_tunnels_than_the_limit(self) -> None:
        self.open_port(TUNNEL_PORT, 800)
        self.deployment.wait_until(lambda: False, WATCH_S)
        self.check()

    def test_more_silent_channels_than_the_limit(self) -> None:
        self.open_port(CHANNEL_PORT, 800)
        self.deployment.wait_until(lambda: False, WATCH_S)
        self.check()

    def test_more_silent_http_connections_than_the_limit(self) -> None:
        self.open_port(PEERS_PORT, 400)
        self.open_port(READINESS_PORT, 400)
        self.deployment.wait_until(lambda: False, WATCH_S)
        self.check()

    def test_http_requests_sent_ahead_without_reading_the_answers(self) -> None:
        request = b"GET / HTTP/1.1\r\n\r\n"
        self.send(self.open_port(READINESS_PORT, 90), request * 30_000)
        self.check()

    def test_views_requested_ahead_without_reading_the_answers(self) -> None:
        request = b"GET /view?routes=0&instances=0&records=0 HTTP/1.1\r\nHost: x\r\n\r\n"
        self.send(self.open_port(PEERS_PORT, 40), request * 5_000)
        self.check()


class TestInstances(MisbehavingTestCase):
    """Guards against instances whose replies never end."""

    def test_rows_without_end(self) -> None:
        line = f"QUERY q READ {ENDLESS_ROWS}\r\n".encode()
        self.send(self.open_crowd(4), b"STARTUP catalogue c\r\n" + line)
        self.deployment.wait_until(self.is_clearly_exceeded, 4.0)
        self.check()

    def test_lines_without_end(self) -> None:
        line = f"QUERY q READ {ENDLESS_LINE}\r\n".encode()
        self.send(self.open_crowd(60), b"STARTUP catalogue c\r\n" + line)
        self.deployment.wait_until(self.is_clearly_exceeded, 4.0)
        self.check()
