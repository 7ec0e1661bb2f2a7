"""Entry point of `python -m orioleplank`."""

import sys

from orioleplank.cli import main

if __name__ == "__main__":
    sys.exit(main())
