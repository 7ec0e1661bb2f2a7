"""Tests of `orioleplank.decision.session`."""
