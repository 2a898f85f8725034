"""Stand-ins for the platform and for endpoints, with fault injection, for tests."""
