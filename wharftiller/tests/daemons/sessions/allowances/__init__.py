"""Tests of the rate limiter of one box."""
