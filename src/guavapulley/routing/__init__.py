"""Routing decisions for requests, without I/O or message encoding."""

from guavapulley.routing._affinity_scope import AffinityScope
from guavapulley.routing._budgets import ColdBudget
from guavapulley.routing._budgets import RetryBudget
from guavapulley.routing._budgets import max_cold_rate_per_s
from guavapulley.routing._durations import TypicalDurations
from guavapulley.routing._matching import RouteMatcher
from guavapulley.routing._matching import TrafficSplitter
from guavapulley.routing._placement import Location
from guavapulley.routing._placement import find_cheapest
from guavapulley.routing._policies import LeastCostPolicy
from guavapulley.routing._policies import PlacementContext
from guavapulley.routing._policies import PlacementPolicy
from guavapulley.routing._spillover import Spillover
from guavapulley.routing._spillover import initial_spill_fraction
from guavapulley.routing._trackers import REFUSING
from guavapulley.routing._trackers import UpstreamTracker
from guavapulley.routing._typical_load import TypicalLoad
from guavapulley.routing._wait_queue import Waiter
from guavapulley.routing._wait_queue import WaitQueue
from guavapulley.routing._windows import SlidingWindowCounter
from guavapulley.routing._working_set import RequestsPerObject
from guavapulley.routing._working_set import WorkingSet

__all__ = [
    "REFUSING",
    "RequestsPerObject",
    "PlacementContext",
    "PlacementPolicy",
    "ColdBudget",
    "AffinityScope",
    "LeastCostPolicy",
    "WaitQueue",
    "WorkingSet",
    "Location",
    "RetryBudget",
    "RouteMatcher",
    "SlidingWindowCounter",
    "Spillover",
    "Waiter",
    "TrafficSplitter",
    "TypicalLoad",
    "UpstreamTracker",
    "TypicalDurations",
    "find_cheapest",
    "max_cold_rate_per_s",
    "initial_spill_fraction",
]
