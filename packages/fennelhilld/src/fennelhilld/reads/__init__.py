"""Reads: from a replica that is fresh enough, or from the confirmed primary."""
