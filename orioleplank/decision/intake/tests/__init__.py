"""Tests of `orioleplank.decision.intake`."""
