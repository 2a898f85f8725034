"""Messages between processes, calls to an entry, and their encodings."""
