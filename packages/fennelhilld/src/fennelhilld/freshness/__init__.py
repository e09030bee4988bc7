"""Freshness: which log position a replica needs for a read, and replication lag."""
