"""Roles, command line and demonstration."""

from guavapulley.programs import _bootstrap  # noqa: F401
from guavapulley.programs._cli import main
from guavapulley.programs._stand_in import StandIn
from guavapulley.programs._stand_in import StandInSettings
from guavapulley.programs._stand_in import run_stand_in

__all__ = ["StandIn", "StandInSettings", "main", "run_stand_in"]
