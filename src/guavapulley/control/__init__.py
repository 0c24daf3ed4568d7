"""State machine over the replicated log and its services."""
