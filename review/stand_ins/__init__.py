"""Stand-ins of the platform, the backends and the clients, for the review's scripts.

They need the standard library only, and follow the users' pages.
"""
