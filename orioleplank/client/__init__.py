"""Client library: sessions that track their consistency token, and streams to proxies."""

from orioleplank.client._caller import Caller, Stream, StreamLostError
from orioleplank.client._query import make_payload, make_query, read_rows
from orioleplank.client._session import Session

__all__ = [
    "Caller",
    "Session",
    "Stream",
    "StreamLostError",
    "make_payload",
    "make_query",
    "read_rows",
]
