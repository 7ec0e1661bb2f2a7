"""HTTP endpoint that reports to the load balancer whether the proxy accepts new connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from orioleplank.http import HttpServerFactory, Request, Response

READINESS_PATH = "/orioleplank/readiness"


def build_readiness_site(reactor: Any, is_ready: Callable[[], bool]) -> HttpServerFactory:
    """Return a site that responds with 200 while `is_ready` returns true, otherwise with 503."""

    def respond(request: Request) -> Response:
        if request.target.partition("?")[0] != READINESS_PATH:
            return Response(404)
        return Response(200 if is_ready() else 503)

    return HttpServerFactory(reactor, respond)
