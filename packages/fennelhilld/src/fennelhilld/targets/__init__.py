"""Targets: the protocol spoken to them and the drivers that speak it."""
