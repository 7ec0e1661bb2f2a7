"""Tests of `orioleplank.platform`."""
