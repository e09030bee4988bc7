"""Membership: which entry hosts are live, and which one owns a target."""
