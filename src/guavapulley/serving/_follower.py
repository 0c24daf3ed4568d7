"""Keeps the entry on the newest accepted configuration."""

from collections.abc import Callable
import enum
from typing import Protocol

import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports

# Time after the last confirmation at which an entry counts as cut off.
CONFIGURATION_LEASE_S = 10.0
# Longest wait of a watch; short against the lease, which is counted from the
# start of a watch.
WATCH_WAIT_S = 2.0
# The replica answers after the wait; a reply this late is lost.
WATCH_TIMEOUT_S = WATCH_WAIT_S + 1.0
GOSSIP_AHEAD_S = 1.0
CHECK_INTERVAL_S = 0.25
RETRY_PAUSE_S = 0.2


class FollowerState(enum.StrEnum):
    """How far the entry may rely on its configuration."""

    UNCONFIRMED = "unconfirmed"
    CONFIRMED = "confirmed"
    DETACHED = "detached"


class ConfigurationSource(Protocol):
    """Watches the configuration at one control replica at a time."""

    async def watch(
        self, request: model.WatchConfiguration
    ) -> model.WatchReply:
        """Waits for a newer configuration; see `ports.ControlPlane`."""

    def switch_replica(self) -> None:
        """Sends the next watch to another replica."""


class ConfigurationFollower:
    """The configuration in force at an entry; its revision never decreases.

    Args:
        entry: Name of this entry.
        source: Where to watch.
        gossiped_revision: Returns the highest revision that live entries
            report.
        events: Receives changes of state and revision.

    Attributes:
        configuration: Configuration in force.
        services: Its services by name.
    """

    def __init__(
        self,
        entry: str,
        source: ConfigurationSource,
        gossiped_revision: Callable[[], int],
        events: ports.EventLog,
    ) -> None:
        self.entry = entry
        self.source = source
        self.gossiped_revision = gossiped_revision
        self.events = events
        self.configuration = model.Configuration()
        self.services: dict[str, model.Service] = {}
        self.confirmed_at_s: float | None = None
        self.ready = trio.Event()
        self.watch_scope = trio.CancelScope()
        self.reported = FollowerState.UNCONFIRMED

    def state(self) -> FollowerState:
        """Returns how far the configuration can be relied on now."""
        if self.confirmed_at_s is None:
            return FollowerState.UNCONFIRMED
        age_s = trio.current_time() - self.confirmed_at_s
        if age_s > CONFIGURATION_LEASE_S:
            return FollowerState.DETACHED
        return FollowerState.CONFIRMED

    async def run(self) -> None:
        """Watches until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._compare_with_gossip)
            while True:
                with trio.CancelScope() as self.watch_scope:
                    await self._watch_once()
                if self.watch_scope.cancelled_caught:
                    self.source.switch_replica()

    async def _watch_once(self) -> None:
        sent_at_s = trio.current_time()
        request = model.WatchConfiguration(
            self.entry,
            self.configuration.revision,
            WATCH_WAIT_S,
            confirm=self.confirmed_at_s is None,
        )
        try:
            with trio.fail_after(WATCH_TIMEOUT_S):
                reply = await self.source.watch(request)
        except (errors.GuavapulleyError, trio.TooSlowError) as error:
            self.events.write("configuration:watch_failed", reason=str(error))
            usable = False
        else:
            usable = self._take(reply, sent_at_s)
        if not usable:
            self.source.switch_replica()
            await trio.sleep(RETRY_PAUSE_S)

    def _take(self, reply: model.WatchReply, sent_at_s: float) -> bool:
        """Applies a reply and returns whether its replica is up to date."""
        found = reply.configuration
        if found is not None and found.revision > self.configuration.revision:
            self._apply(found)
        # A replica behind this entry cannot know that nothing newer exists.
        if not reply.confirmed or reply.revision < self.configuration.revision:
            return False
        # The lease counts from before the call, because the configuration
        # may have changed while the reply was on its way.
        self.confirmed_at_s = max(self.confirmed_at_s or 0.0, sent_at_s)
        self.ready.set()
        self._report()
        return True

    def _apply(self, found: model.Configuration) -> None:
        self.configuration = found
        self.services = found.services()
        self.events.write("configuration:applied", revision=found.revision)

    async def _compare_with_gossip(self) -> None:
        """Leaves a replica that does not have what other entries have."""
        ahead_since_s: float | None = None
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self._report()
            now_s = trio.current_time()
            if self.gossiped_revision() <= self.configuration.revision:
                ahead_since_s = None
            elif ahead_since_s is None:
                ahead_since_s = now_s
            elif now_s - ahead_since_s >= GOSSIP_AHEAD_S:
                ahead_since_s = None
                self.watch_scope.cancel()

    def _report(self) -> None:
        state = self.state()
        if state is not self.reported:
            self.reported = state
            self.events.write(
                f"configuration:{state.value}",
                revision=self.configuration.revision,
            )
