"""Promotion: the change of a group's primary."""
