"""The fennelhill daemon: one program that plays every role on an entry host."""
