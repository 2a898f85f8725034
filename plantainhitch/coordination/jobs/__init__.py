"""Jobs at an entry: admission, placement, retries, and the state of each job."""
