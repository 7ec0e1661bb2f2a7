"""Tests of `orioleplank.decision.instances`."""
