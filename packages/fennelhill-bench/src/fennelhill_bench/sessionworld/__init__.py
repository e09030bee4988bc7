"""Stand-ins for targets, store and clients of the session core, in virtual time."""
