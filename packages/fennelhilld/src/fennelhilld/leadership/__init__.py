"""Leadership: which target leads each group, as far as proven."""
