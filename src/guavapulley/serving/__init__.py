"""Request handling in an entry."""
