"""Freshness: proof of how current a replica's data is."""
