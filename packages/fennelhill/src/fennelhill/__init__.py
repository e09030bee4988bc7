"""The operators' command line of fennelhill."""
