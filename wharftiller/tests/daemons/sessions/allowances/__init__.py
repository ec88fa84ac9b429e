"""Tests of the allowances of workspaces on one box."""
