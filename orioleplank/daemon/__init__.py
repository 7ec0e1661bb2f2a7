"""The proxy's process: services that do the I/O for the decision code in `orioleplank.decision`."""

from orioleplank.daemon._asyncio_reactor import run_with_asyncio_reactor
from orioleplank.daemon._proxy import run_proxy

__all__ = ["run_proxy", "run_with_asyncio_reactor"]
