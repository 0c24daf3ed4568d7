"""Durable storage of a control replica in its data folder."""

from guavapulley.adapters.disk._data_folder import DataFolder
from guavapulley.adapters.disk._timed_store import TimedStore

__all__ = ["DataFolder", "TimedStore"]
