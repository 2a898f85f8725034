"""Load generation: workload models, arrivals, ideal response times and results."""
