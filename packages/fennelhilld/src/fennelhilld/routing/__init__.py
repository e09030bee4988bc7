"""Routing: which target serves a request."""
