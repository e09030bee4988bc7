"""Patterns of load, replayed against the session core in virtual time."""
