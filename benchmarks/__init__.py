"""Measurements; run by `make bench`, never by CI."""
