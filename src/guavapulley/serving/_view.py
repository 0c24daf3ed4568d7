"""State of the system as this entry knows it."""

from collections.abc import Sequence
from typing import Protocol

from guavapulley import model
from guavapulley import ports
from guavapulley.serving import _follower


class Membership(Protocol):
    """Entries and upstreams as gossip knows them."""

    def upstreams(self, service: str) -> Sequence[ports.KnownUpstream]:
        """Returns the upstreams of a service, in a stable order."""

    def live_entries(self) -> Sequence[model.EntryRecord]:
        """Returns the entries that take requests, this one included."""


class EntryView:
    """`ports.SteeringView` from the follower and the membership."""

    def __init__(
        self,
        follower: _follower.ConfigurationFollower,
        membership: Membership,
    ) -> None:
        self.follower = follower
        self.membership = membership

    def configuration(self) -> model.Configuration:
        """Returns the configuration in force."""
        return self.follower.configuration

    def detached(self) -> bool:
        """Returns whether the configuration lease has lapsed."""
        return self.follower.state() is not _follower.FollowerState.CONFIRMED

    def upstreams(self, service: str) -> Sequence[ports.KnownUpstream]:
        """Returns the upstreams of a service, in a stable order."""
        return self.membership.upstreams(service)

    def live_entries(self) -> Sequence[model.EntryRecord]:
        """Returns the entries that take requests, this one included."""
        return self.membership.live_entries()
