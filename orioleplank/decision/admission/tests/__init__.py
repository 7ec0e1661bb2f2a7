"""Tests of `orioleplank.decision.admission`."""
