"""Stand-ins, load, checks and measurements for development; not for production."""
