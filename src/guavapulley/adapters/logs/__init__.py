"""Event log by eliot."""
