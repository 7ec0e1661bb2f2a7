"""Tests of `orioleplank.decision.group`."""
