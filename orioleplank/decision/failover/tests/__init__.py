"""Tests of `orioleplank.decision.failover`."""
