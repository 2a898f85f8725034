"""Benchmarks: simulated placement policies, processes under load, capacity."""
