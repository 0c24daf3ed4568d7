"""Core nodes, apart from edge nodes, which need neither log nor disk."""

from guavapulley.nodes.core._node import CoreApi
from guavapulley.nodes.core._node import run_core

__all__ = ["CoreApi", "run_core"]
