"""Runs of load patterns against the real forwarding code on a paused clock."""

from guavapulley.experiments._ledger import Distance
from guavapulley.experiments._ledger import Ledger
from guavapulley.experiments._patterns import PATTERNS
from guavapulley.experiments._policies import POLICIES
from guavapulley.experiments._run import run_pattern

__all__ = [
    "PATTERNS",
    "POLICIES",
    "Distance",
    "Ledger",
    "run_pattern",
]
