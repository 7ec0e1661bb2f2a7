"""The command line."""

from orioleplank.cli._main import main

__all__ = ["main"]
