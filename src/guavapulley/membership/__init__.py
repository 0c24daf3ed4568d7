"""Membership of entries and the registry of upstreams."""
