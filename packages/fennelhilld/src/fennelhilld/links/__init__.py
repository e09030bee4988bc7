"""Links: pooled connections to targets, with session state replayed."""
