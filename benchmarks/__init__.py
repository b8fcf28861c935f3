"""Benchmarks of routing policies, routing decisions and a daemon's resource use."""
