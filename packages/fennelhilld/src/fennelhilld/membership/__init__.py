"""Membership: which entry hosts are alive and which one owns a target."""
