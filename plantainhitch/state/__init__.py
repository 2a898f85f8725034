"""Data that the decisions keep: ids, class definitions, estimates, windows."""
