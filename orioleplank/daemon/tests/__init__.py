"""Tests of `orioleplank.daemon`."""
