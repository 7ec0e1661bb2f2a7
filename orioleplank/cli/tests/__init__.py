"""Tests of `orioleplank.cli`."""
