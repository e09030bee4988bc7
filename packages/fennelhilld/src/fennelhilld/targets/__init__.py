"""Targets: the messages of their protocol and the drivers that implement it."""
