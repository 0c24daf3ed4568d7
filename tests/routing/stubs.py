"""Upstream trackers for tests."""

from guavapulley import model
from guavapulley import routing


def make_tracker(name, domain="pb-1", slots=3, **fields):
    record = model.UpstreamRecord(
        name,
        "stock",
        model.NodeAddress(name, 80),
        domain.split("-")[0],
        domain,
        slots,
        0,
    )
    tracker = routing.UpstreamTracker(record)
    for field, value in fields.items():
        setattr(tracker, field, value)
    return tracker
