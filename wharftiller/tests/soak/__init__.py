"""Randomized soak test: box processes under injected faults, with their guarantees checked."""
