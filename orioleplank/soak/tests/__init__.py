"""Tests of `orioleplank.soak`."""
