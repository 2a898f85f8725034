"""Dispatcher of sub-second tasks for fleets of unequal instances."""

__version__ = "0.1.0"
