"""The decisions: submissions, placement, admission, membership, configuration."""
