"""Primary monitor: state of a group's targets, and confirmation of terms and writes."""
