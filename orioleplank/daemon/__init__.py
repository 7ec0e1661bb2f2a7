"""The proxy's daemon: thin services around the decisions."""

from orioleplank.daemon._asyncio_reactor import run_with_asyncio_reactor
from orioleplank.daemon._proxy import run_proxy

__all__ = ["run_proxy", "run_with_asyncio_reactor"]
