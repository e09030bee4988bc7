"""Fleet: the other hosts, and queries between hosts over HTTP."""
