"""Which region is nearest to a caller."""

from guavapulley.lookup._blocks import ClientBlockTable

__all__ = ["ClientBlockTable"]
