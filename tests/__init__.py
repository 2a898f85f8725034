"""Tests of plantainhitch, run by ``python -m tests.run``."""
