"""Process roles, the command line and the demonstration."""

from guavapulley.programs import _bootstrap  # noqa: F401
from guavapulley.programs._cli import main
from guavapulley.programs._simulated_upstream import SimulatedUpstream
from guavapulley.programs._simulated_upstream import SimulatedUpstreamSettings
from guavapulley.programs._simulated_upstream import run_simulated_upstream

__all__ = [
    "SimulatedUpstream",
    "SimulatedUpstreamSettings",
    "main",
    "run_simulated_upstream",
]
