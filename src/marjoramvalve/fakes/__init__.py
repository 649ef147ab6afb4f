"""Test doubles for tests, the demo and the benches."""
