"""Catalog: databases, groups and limits in force."""
