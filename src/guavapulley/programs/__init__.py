"""Roles, command line and demonstration."""

from guavapulley.programs._cli import main

__all__ = ["main"]
