"""Peers: requests between entry hosts."""
