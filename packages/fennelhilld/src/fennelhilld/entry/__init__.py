"""Entry: the interface for callers."""
