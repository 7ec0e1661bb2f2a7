"""Runs the command line."""

import sys

from orioleplank.cli import main

if __name__ == "__main__":
    sys.exit(main())
