"""Small replacements for the platform and for endpoints, with faults."""
