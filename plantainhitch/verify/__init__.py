"""Model checking: state machines of the protocol, searched for broken invariants.

``search`` explores any model breadth first; ``starts`` models ownership of a
submission and the start of its tasks; ``keys`` models the binding of callers'
idempotency keys; ``endpoint_orders`` models a run whose start may be carried out
late. ``ledger`` checks the starts and answers of a real deployment.
"""
