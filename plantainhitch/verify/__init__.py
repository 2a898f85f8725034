"""Model checking: state machines of the protocol, searched for broken invariants.

``search`` explores any model breadth first; ``starts`` models ownership of a
submission and the start of its tasks; ``keys`` models the binding of callers'
idempotency keys. ``ledger`` checks the starts and answers of a real deployment.
"""
