"""The agent's part in jobs: runs of tasks at the endpoint beside it."""
