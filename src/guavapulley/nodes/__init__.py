"""Edge nodes on the users' platform, and what core nodes share with them.

A node connects the adapters with the services. The platform passes in the
translation of its own calls and headers. Core nodes are in `nodes.core`.
"""

from guavapulley.nodes._edge import run_edge
from guavapulley.nodes._settings import NodeSettings

__all__ = ["NodeSettings", "run_edge"]
