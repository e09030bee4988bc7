"""Pooling: connections to a target and admission to its slots."""
