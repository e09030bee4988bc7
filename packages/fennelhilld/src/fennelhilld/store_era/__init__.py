"""Store era: how often the platform's store has come back from an older copy."""
