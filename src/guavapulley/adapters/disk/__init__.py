"""The data folder of a control replica."""

from guavapulley.adapters.disk._folder import DataFolder

__all__ = ["DataFolder"]
