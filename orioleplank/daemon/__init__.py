"""The proxy's daemon: thin services around the decisions."""

from orioleplank.daemon._proxy import run_proxy
from orioleplank.daemon._reactor import run_with_reactor

__all__ = ["run_proxy", "run_with_reactor"]
