"""Runs the soak from the command line: `python -m orioleplank.soak`."""

from __future__ import annotations

import argparse
import sys

from orioleplank.soak import add_arguments

parser = argparse.ArgumentParser(prog="orioleplank soak", description=__doc__)
add_arguments(parser)
options = parser.parse_args()
sys.exit(options.run(options))
