"""Measurements: policies compared, the real processes under load, capacity."""
