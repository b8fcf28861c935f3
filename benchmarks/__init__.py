"""Benchmarks of the decisions and of a daemon."""
