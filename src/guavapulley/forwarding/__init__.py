"""Forwarding of routed requests from callers to upstreams."""

from guavapulley.forwarding._fleet_watcher import FleetWatcher
from guavapulley.forwarding._forwarder import Forwarder
from guavapulley.forwarding._registry import UpstreamRegistry
from guavapulley.forwarding._settings import ForwardingSettings
from guavapulley.forwarding._stop import StopSchedule

__all__ = [
    "FleetWatcher",
    "Forwarder",
    "ForwardingSettings",
    "StopSchedule",
    "UpstreamRegistry",
]
