"""The port by which steering decisions read the state of the system."""

from collections.abc import Sequence
import enum
from typing import Protocol

import attrs

from guavapulley import model


class Freshness(enum.StrEnum):
    """Whether the record of an upstream is up to date.

    `STALE` means that renewals of many upstreams stopped at the same time while
    dispatches to this upstream still succeed.
    """

    FRESH = "fresh"
    STALE = "stale"
    EXPIRED = "expired"


@attrs.frozen
class UpstreamObservation:
    """An upstream as one entry sees it.

    Attributes:
        record: Newest record of the upstream.
        renewed_at_s: Time of the last renewal in seconds of trio's clock.
        first_seen_s: Time at which the entry first saw this incarnation, in
            seconds of trio's clock.
        freshness: Whether the record is up to date.
    """

    record: model.UpstreamRecord
    renewed_at_s: float
    first_seen_s: float
    freshness: Freshness = Freshness.FRESH


class SteeringView(Protocol):
    """The current state of the system as one entry sees it."""

    def configuration(self) -> model.Configuration:
        """Returns the configuration in force."""

    def is_detached(self) -> bool:
        """Returns whether the configuration lease of the entry has lapsed."""

    def upstreams(self, service: str) -> Sequence[UpstreamObservation]:
        """Returns the upstreams of a service in a stable order."""

    def live_entries(self) -> Sequence[model.EntryRecord]:
        """Returns the entries that accept requests, including this one."""
