"""Tests of `orioleplank.decision`."""
