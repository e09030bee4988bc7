"""Draining: closing client connections without interrupting a statement."""
