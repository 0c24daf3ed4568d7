"""Roles, command line and demonstration."""
