"""Adapters of the ports to libraries and the operating system."""
