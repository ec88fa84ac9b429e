"""Benchmarks, run by `make bench` and not by CI."""
