"""Relay: statements reach a target through a host that holds connections to it."""
