"""Tests of `orioleplank.decision.membership`."""
