"""Tests of `orioleplank.standin`."""
