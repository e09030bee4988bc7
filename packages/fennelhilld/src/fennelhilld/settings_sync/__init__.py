"""Settings sync: keeps a host's settings at the latest known revision."""
