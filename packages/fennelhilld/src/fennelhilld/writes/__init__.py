"""Writes: at most once, confirmed, and outcomes that can be asked for."""
