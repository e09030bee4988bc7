"""Limits of organisations over the whole fleet: permits, their issuers, elections."""
