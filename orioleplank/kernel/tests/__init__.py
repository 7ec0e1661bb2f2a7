"""Tests of `orioleplank.kernel`."""
