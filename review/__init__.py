"""Cases of an independent review: each shows a broken rule. Not part of the test run."""
