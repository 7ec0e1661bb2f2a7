"""Tests of `orioleplank.decision.quorum`."""
