"""Leader leases: the proof that a group's known leader has not been replaced."""
