"""Metrics in the text format of Prometheus."""

from guavapulley.adapters.prometheus._metrics import PrometheusMetrics

__all__ = ["PrometheusMetrics"]
