"""Directory: the targets that the platform lists."""
