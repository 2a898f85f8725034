"""Checked models: small state machines searched for broken promises.

``search`` explores any model breadth first; ``starts`` is the model of who may
start a task; ``keys`` is the model of callers' own keys.
"""
