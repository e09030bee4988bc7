"""What every fennelhill program shares: codes, messages, settings and streams."""
