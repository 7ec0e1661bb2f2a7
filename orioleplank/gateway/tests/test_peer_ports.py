"""Tests of the limits on channels and tunnels from other proxies."""

from __future__ import annotations

from typing import Any

import testtools
from twisted.internet.testing import MemoryReactorClock, StringTransport

from orioleplank.decision.intake import CallerLimits
from orioleplank.gateway import Intake, LimitSide
from orioleplank.gateway import _channels as channels
from orioleplank.gateway._tunnel import NAME_TIMEOUT_S, TunnelFactory

LIMITS = CallerLimits(process_bytes=1000, peer_connections=2, peer_channels=2, unread_bytes=500)


class _Transport(StringTransport):
    """A transport without a socket."""

    has_aborted = False
    dataBuffer = b""  # noqa: N815

    def abortConnection(self) -> None:  # noqa: N802
        """Record the call."""
        self.has_aborted = True

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Nothing to set."""

    def getHandle(self) -> None:  # noqa: N802
        """Return None: there is no socket."""


class _Handler:
    """Keeps the frames of a channel."""

    def __init__(self, channel: object) -> None:
        self.frames: list[bytes] = []

    def handle_frame(self, frame: bytes) -> None:
        """Keep a frame."""
        self.frames.append(frame)

    def handle_channel_closed(self) -> None:
        """Nothing to do."""


class PortTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.patch(channels, "set_tcp_timeouts", lambda handle: None)
        self.reports: list[tuple[str, str]] = []
        self.intake = Intake(
            LIMITS, lambda side, reason: self.reports.append((side, reason)), lambda **_: None
        )
        self.reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]

    def open(self, factory: Any) -> tuple[Any, Any]:
        """Open a connection; return its protocol and transport."""
        build_transport: Any = _Transport
        transport, protocol = build_transport(), factory.buildProtocol(None)
        if protocol is not None:
            protocol.makeConnection(transport)
        return protocol, transport


class TestChannelLimits(PortTestCase):
    """Guards against frames that never end, and peers that read nothing."""

    def setUp(self) -> None:
        super().setUp()
        self.factory: Any = channels.ChannelFactory(_Handler, self.intake)  # type: ignore[arg-type]

    def test_unfinished_frame_over_the_budget_closes_the_channel(self) -> None:
        protocol, transport = self.open(self.factory)
        protocol.dataReceived((2000).to_bytes(4, "big") + b"f" * 1001)
        self.assertTrue(transport.has_aborted)
        self.assertEqual([("channel", "process")], self.reports)

    def test_complete_frames_hold_nothing(self) -> None:
        protocol, transport = self.open(self.factory)
        for _ in range(5):
            protocol.dataReceived((900).to_bytes(4, "big") + b"f" * 900)
        self.assertEqual(5, len(protocol.handler.frames))
        self.assertEqual((0, False), (self.intake.held_bytes, transport.has_aborted))

    def test_peer_that_reads_nothing_is_closed(self) -> None:
        protocol, transport = self.open(self.factory)
        transport.dataBuffer = b"x" * 501
        protocol.send(b"frame")
        self.assertTrue(transport.has_aborted)
        self.assertEqual([("channel", "unread")], self.reports)

    def test_channel_without_a_frame_makes_room_for_a_new_one(self) -> None:
        used, used_transport = self.open(self.factory)
        used.dataReceived((1).to_bytes(4, "big") + b"f")
        _, silent_transport = self.open(self.factory)
        third, _ = self.open(self.factory)
        self.assertIsNotNone(third)
        self.assertTrue(silent_transport.has_aborted)
        self.assertFalse(used_transport.has_aborted)


class TestTunnelLimits(PortTestCase):
    """Guards against tunnels without a name, and bytes sent before the instance is connected."""

    def setUp(self) -> None:
        super().setUp()
        guard = self.intake.build_peer_guard(LimitSide.TUNNEL)
        self.factory = TunnelFactory(self.reactor, lambda _: "10.0.0.3:5432", guard)

    def test_tunnel_that_names_no_instance_in_time_is_closed(self) -> None:
        _, transport = self.open(self.factory)
        self.reactor.advance(NAME_TIMEOUT_S + 0.1)
        self.assertTrue(transport.has_aborted)

    def test_nothing_is_read_until_the_instance_is_connected(self) -> None:
        protocol, transport = self.open(self.factory)
        protocol.dataReceived(b"db-a\r\nfirst bytes")
        self.assertEqual("paused", transport.producerState)
        self.reactor.advance(NAME_TIMEOUT_S + 0.1)
        self.assertFalse(transport.has_aborted)

    def test_tunnel_without_a_name_makes_room_for_a_new_one(self) -> None:
        named, named_transport = self.open(self.factory)
        named.dataReceived(b"db-a\r\n")
        _, silent_transport = self.open(self.factory)
        self.open(self.factory)
        self.assertTrue(silent_transport.has_aborted)
        self.assertFalse(named_transport.has_aborted)
