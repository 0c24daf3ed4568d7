"""Metrics by statsd."""
