"""The agent's part in jobs: the runs of tasks at the endpoint on its machine."""
