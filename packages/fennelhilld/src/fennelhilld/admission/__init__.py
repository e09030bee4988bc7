"""Admission control: queue order, load shedding and concurrency windows."""
