"""Tests of `orioleplank.wire`."""
