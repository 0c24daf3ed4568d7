"""Replicated state of routing, evacuations, upstreams and entries."""

from guavapulley.fleet._directory import nearest_entries
from guavapulley.fleet._machine import CODEC_TYPES
from guavapulley.fleet._machine import FleetError
from guavapulley.fleet._machine import FleetStateMachine
from guavapulley.fleet._service import FleetService
from guavapulley.fleet._validation import validate_table

__all__ = [
    "CODEC_TYPES",
    "FleetError",
    "FleetStateMachine",
    "FleetService",
    "nearest_entries",
    "validate_table",
]
