"""Placement: which target serves a statement."""
