"""Lookup of the nearest region by the address of a caller."""

from guavapulley.lookup._blocks import ClientBlockTable

__all__ = ["ClientBlockTable"]
