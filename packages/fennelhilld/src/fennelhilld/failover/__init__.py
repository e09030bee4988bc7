"""Failover: detects a lost primary and orders the promotion of another."""
