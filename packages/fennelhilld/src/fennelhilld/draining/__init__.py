"""Draining: letting clients go without cutting a statement."""
