"""Pooling: connections to a target and admission control for its slots."""
