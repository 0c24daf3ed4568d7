"""Local view of the system, on which steering decides."""

from collections.abc import Sequence
from typing import Protocol

from guavapulley import model
from guavapulley import ports
from guavapulley.serving import _configuration


class Membership(Protocol):
    """Entries and upstreams as gossiped."""

    def upstreams(self, service: str) -> Sequence[ports.UpstreamObservation]:
        """Returns the upstreams of a service, in a stable order."""

    def live_entries(self) -> Sequence[model.EntryRecord]:
        """Returns the entries that accept requests, including this one."""


class EntryView:
    """`ports.SteeringView` over the watched configuration and the membership.

    Args:
        watcher: Provides the configuration in force.
        membership: Provides the entries and upstreams.
    """

    def __init__(
        self,
        watcher: _configuration.ConfigurationWatcher,
        membership: Membership,
    ) -> None:
        self.watcher = watcher
        self.membership = membership

    def configuration(self) -> model.Configuration:
        """Returns the configuration in force."""
        return self.watcher.configuration

    def is_detached(self) -> bool:
        """Returns whether the configuration lease of the entry has expired."""
        return (
            self.watcher.state()
            is not _configuration.ConfigurationState.CONFIRMED
        )

    def upstreams(self, service: str) -> Sequence[ports.UpstreamObservation]:
        """Returns the upstreams of a service, in a stable order."""
        return self.membership.upstreams(service)

    def live_entries(self) -> Sequence[model.EntryRecord]:
        """Returns the entries that accept requests, including this one."""
        return self.membership.live_entries()
