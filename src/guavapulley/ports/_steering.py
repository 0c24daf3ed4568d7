"""What steering decisions see of the system."""

from collections.abc import Sequence
import enum
from typing import Protocol

import attrs

from guavapulley import model


class Freshness(enum.StrEnum):
    """How far the record of an upstream can be trusted.

    `STALE` means that its renewals stopped together with those of many others
    while dispatches to it still succeed.
    """

    FRESH = "fresh"
    STALE = "stale"
    EXPIRED = "expired"


@attrs.frozen
class KnownUpstream:
    """An upstream as one entry knows it.

    Attributes:
        record: Newest record.
        renewed_at_s: Time of its last renewal on trio's clock.
        first_seen_s: Time at which this incarnation was first seen.
        freshness: How far the record can be trusted.
    """

    record: model.UpstreamRecord
    renewed_at_s: float
    first_seen_s: float
    freshness: Freshness = Freshness.FRESH


class SteeringView(Protocol):
    """State of the system as one entry knows it now."""

    def configuration(self) -> model.Configuration:
        """Returns the configuration in force."""

    def detached(self) -> bool:
        """Returns whether the configuration lease of the entry has lapsed."""

    def upstreams(self, service: str) -> Sequence[KnownUpstream]:
        """Returns the upstreams of a service, in a stable order."""

    def live_entries(self) -> Sequence[model.EntryRecord]:
        """Returns the entries that take requests, this one included."""
