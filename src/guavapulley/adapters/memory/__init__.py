"""In-memory implementations of ports, with fault injection, for tests."""

from guavapulley.adapters.memory._admin import MemoryAdmin
from guavapulley.adapters.memory._network import MemoryNetwork
from guavapulley.adapters.memory._store import MemoryDisk
from guavapulley.adapters.memory._store import MemoryStore

__all__ = ["MemoryAdmin", "MemoryDisk", "MemoryNetwork", "MemoryStore"]
