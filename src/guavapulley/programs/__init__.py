"""Roles, command line and demonstration."""

from guavapulley.programs import _bootstrap  # noqa: F401
from guavapulley.programs._cli import main

__all__ = ["main"]
