"""Placement: which target serves a read, and which hosts keep connections."""
