"""Load patterns that are replayed against the session core in virtual time."""
