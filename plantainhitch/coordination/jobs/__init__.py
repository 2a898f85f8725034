"""The entry's part in jobs: admission, placement, and the state of each job."""
