"""Writes: idempotency keys, confirmation by replicas, and outcome queries."""
