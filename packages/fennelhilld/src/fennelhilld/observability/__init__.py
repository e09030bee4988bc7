"""Observability: health, status, events and metrics for operators."""
