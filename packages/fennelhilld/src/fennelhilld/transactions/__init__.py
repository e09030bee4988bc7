"""Transactions: several statements on one pinned connection."""
