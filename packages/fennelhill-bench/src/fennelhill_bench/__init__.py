"""Stand-ins, load, checks and measurements; for development only."""
