"""Implementations of the ports with libraries and the operating system."""
