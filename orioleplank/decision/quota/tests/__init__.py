"""Tests of `orioleplank.decision.quota`."""
