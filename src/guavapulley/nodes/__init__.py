"""Core and edge nodes on the users' platform.

A node connects the adapters with the services. The platform passes in the
translation of its own calls and headers.
"""

from guavapulley.nodes._core import CoreApi
from guavapulley.nodes._core import run_core
from guavapulley.nodes._edge import run_edge
from guavapulley.nodes._settings import NodeSettings

__all__ = ["CoreApi", "NodeSettings", "run_core", "run_edge"]
