"""Fakes of the tests: daemons on an in-memory network, histories and a ledger."""
