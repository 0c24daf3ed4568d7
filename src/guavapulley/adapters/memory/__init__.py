"""Ports in memory, with faults, for tests and the demo."""

from guavapulley.adapters.memory._admin import MemoryAdmin
from guavapulley.adapters.memory._network import MemoryNetwork
from guavapulley.adapters.memory._store import MemoryDisk
from guavapulley.adapters.memory._store import MemoryStore

__all__ = ["MemoryAdmin", "MemoryDisk", "MemoryNetwork", "MemoryStore"]
