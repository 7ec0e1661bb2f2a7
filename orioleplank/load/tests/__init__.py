"""Tests of `orioleplank.load`."""
