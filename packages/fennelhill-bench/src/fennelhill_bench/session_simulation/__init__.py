"""Models of targets, store and clients around the session core, in virtual time."""
