"""Data types and bookkeeping that scheduling decisions are based on."""
