"""Metrics in the statsd format."""

from guavapulley.adapters.metrics._statsd import StatsdMetrics

__all__ = ["StatsdMetrics"]
