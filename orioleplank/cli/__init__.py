"""The `orioleplank` command line: runs, inspects and changes proxies."""

from orioleplank.cli._main import main

__all__ = ["main"]
