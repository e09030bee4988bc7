"""Leadership: which target leads each group, as far as this host knows."""
