"""Entry: the callers' interface."""
