"""Benchmarks of routing policies and decisions, of faults and of resource use."""
