"""Statements: client sessions and the statements that they run."""
