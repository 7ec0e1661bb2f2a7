"""HTTP/1.1 between proxies and to the platform: small, bounded messages over kept connections.

The messages are parsed by httptools. The package imports nothing else beyond Twisted's core, since
every restart of a proxy pays for its imports.
"""

from orioleplank.http._client import HttpClient, NoResponseError
from orioleplank.http._message import Request, Response
from orioleplank.http._server import HttpServerFactory

__all__ = ["HttpClient", "HttpServerFactory", "NoResponseError", "Request", "Response"]
