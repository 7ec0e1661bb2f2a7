"""Tests of the client of the platform's store on connections in memory."""

from __future__ import annotations

import json
from typing import Any

import testtools
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock, StringTransport

from orioleplank.gateway import StoreUnavailableError
from orioleplank.platform._store import StoreClient


class _Transport(StringTransport):
    """A transport without a socket."""

    connected = True

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Nothing to set."""

    def abortConnection(self) -> None:  # noqa: N802
        """Nothing to close."""


class StoreTestCase(testtools.TestCase):
    """A client of a store whose responses the test writes."""

    def setUp(self) -> None:
        super().setUp()
        self.reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
        self.restores: list[tuple[int, int]] = []
        self.client = StoreClient(
            self.reactor,
            "10.0.0.1:80",
            lambda method, answer: None,
            lambda previous, era: self.restores.append((previous, era)),
        )
        self._connections: list[Any] = []

    def respond(self, body: object, era: str | None = None, status: int = 200) -> None:
        """Send a response on the oldest connection, which the client opens first if it has none."""
        for _, _, factory, *_ in self.reactor.tcpClients[len(self._connections) :]:
            protocol = factory.buildProtocol(None)
            build_transport: Any = _Transport
            protocol.makeConnection(build_transport())
            self._connections.append(protocol)
        self.reactor.advance(0)
        data = json.dumps(body).encode()
        head = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(data)}\r\n"
        if era is not None:
            head += f"Store-Era: {era}\r\n"
        self._connections[-1].dataReceived(head.encode() + b"\r\n" + data)

    def call(self, era: str | None, status: int = 200) -> None:
        """Send a request that is answered with this era; the response is not looked at."""
        request = Deferred.fromCoroutine(self.client.call("GET", "orioleplank"))
        request.addErrback(lambda failure: failure.trap(StoreUnavailableError))
        self.respond({}, era, status)


class TestStoreEra(StoreTestCase):
    def test_first_era_is_no_restore(self) -> None:
        self.call("3")
        self.assertEqual([], self.restores)

    def test_greater_era_is_reported_once(self) -> None:
        for era in ("3", "4", "4", "6"):
            self.call(era)
        self.assertEqual([(3, 4), (4, 6)], self.restores)

    def test_lower_era_is_a_late_response(self) -> None:
        for era in ("3", "4", "3", "4"):
            self.call(era)
        self.assertEqual([(3, 4)], self.restores)

    def test_response_without_a_valid_era_is_ignored(self) -> None:
        for era in ("3", None, "", "x", "-1", "3"):
            self.call(era)
        self.assertEqual([], self.restores)

    def test_era_of_a_refusal_counts(self) -> None:
        self.call("3")
        self.call("4", status=503)
        self.assertEqual([(3, 4)], self.restores)
