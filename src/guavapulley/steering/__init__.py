"""Decisions about where requests go."""
