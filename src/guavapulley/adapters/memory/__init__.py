"""Peer calls inside one process, for tests and simulations."""

from guavapulley.adapters.memory._network import MemoryNetwork

__all__ = ["MemoryNetwork"]
