"""Selector language over labels."""
