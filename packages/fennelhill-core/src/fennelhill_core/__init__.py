"""Result codes, messages, settings and streams that all fennelhill programs share."""
