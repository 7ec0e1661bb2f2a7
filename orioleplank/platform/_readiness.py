"""HTTP endpoint that reports to the load balancer whether the proxy accepts new connections."""

from __future__ import annotations

from collections.abc import Callable

from twisted.web.resource import Resource
from twisted.web.server import Request, Site

READINESS_PATH = b"/orioleplank/readiness"


class _ReadinessResource(Resource):
    isLeaf = True  # noqa: N815

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._is_ready = is_ready

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        if request.path != READINESS_PATH:
            request.setResponseCode(404)
        elif not self._is_ready():
            request.setResponseCode(503)
        return b""


def build_readiness_site(is_ready: Callable[[], bool]) -> Site:
    """Return a site that responds with 200 while `is_ready` returns true, otherwise with 503."""
    site = Site(_ReadinessResource(is_ready))
    site.noisy = False
    return site
