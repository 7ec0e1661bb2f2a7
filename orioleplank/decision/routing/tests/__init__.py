"""Tests of `orioleplank.decision.routing`."""
