"""Tests of `orioleplank.settings`."""
