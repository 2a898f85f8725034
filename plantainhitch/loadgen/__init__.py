"""Load generation: models of the work, arrivals, the ideal response, records."""
