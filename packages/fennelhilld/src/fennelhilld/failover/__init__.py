"""Failover: detects the loss of a primary and promotes another target."""
