"""Watches control for the newest accepted configuration."""

from collections.abc import Callable
import enum
from typing import Protocol

import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports

# An entry is detached when its last confirmation is older than this.
CONFIGURATION_LEASE_S = 10.0
# Longest time that a replica holds a watch open. It is short compared to the
# lease, which counts from the start of a watch.
WATCH_WAIT_S = 2.0
# A replica replies at the end of the wait; a later reply counts as lost.
WATCH_TIMEOUT_S = WATCH_WAIT_S + 1.0
# Longest time for which other entries may gossip a newer revision before the
# entry watches another replica.
MAX_GOSSIP_LEAD_S = 1.0
CHECK_INTERVAL_S = 0.25
RETRY_PAUSE_S = 0.2


class ConfigurationState(enum.StrEnum):
    """Whether the entry may rely on its configuration.

    Attributes:
        UNCONFIRMED: No majority has confirmed a configuration since the start.
        CONFIRMED: The last confirmation is within the configuration lease.
        DETACHED: The configuration lease has expired.
    """

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
        """Selects another replica for the following watches."""


class ConfigurationWatcher:
    """Holds the configuration in force at an entry.

    The revision of the configuration never decreases.

    Args:
        entry: Name of this entry.
        source: Watches the control replicas.
        gossiped_revision: Returns the highest revision that live entries
            gossip.
        events: Receives changes of state and revision.

    Attributes:
        configuration: Configuration in force.
        services: Services of the configuration by name.
        confirmed_at_s: Start of the last watch that confirmed the
            configuration, in seconds of trio's clock; None before the first.
        ready: Set when a configuration has been confirmed for the first time.
        watch_scope: Cancel scope of the current watch.
        reported_state: State that was last written to the event log.
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
        self.reported_state = ConfigurationState.UNCONFIRMED

    def state(self) -> ConfigurationState:
        """Returns whether the configuration can be relied on now."""
        if self.confirmed_at_s is None:
            return ConfigurationState.UNCONFIRMED
        age_s = trio.current_time() - self.confirmed_at_s
        if age_s > CONFIGURATION_LEASE_S:
            return ConfigurationState.DETACHED
        return ConfigurationState.CONFIRMED

    async def run(self) -> None:
        """Watches the configuration until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._monitor_gossiped_revision)
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
            replica_is_current = False
        else:
            replica_is_current = self._handle_reply(reply, sent_at_s)
        if not replica_is_current:
            self.source.switch_replica()
            await trio.sleep(RETRY_PAUSE_S)

    def _handle_reply(self, reply: model.WatchReply, sent_at_s: float) -> bool:
        """Applies a reply and returns whether its replica is current."""
        configuration = reply.configuration
        if (
            configuration is not None
            and configuration.revision > self.configuration.revision
        ):
            self._apply(configuration)
        # A replica with an older revision than this entry cannot tell that
        # nothing newer exists.
        if not reply.confirmed or reply.revision < self.configuration.revision:
            return False
        # The lease counts from the time of the request, because the
        # configuration may have changed while the reply was in transit.
        self.confirmed_at_s = max(self.confirmed_at_s or 0.0, sent_at_s)
        self.ready.set()
        self._report_state_change()
        return True

    def _apply(self, configuration: model.Configuration) -> None:
        self.configuration = configuration
        self.services = configuration.services()
        self.events.write(
            "configuration:applied", revision=configuration.revision
        )

    async def _monitor_gossiped_revision(self) -> None:
        """Switches the replica when it lacks a revision that others gossip."""
        ahead_since_s: float | None = None
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self._report_state_change()
            now_s = trio.current_time()
            if self.gossiped_revision() <= self.configuration.revision:
                ahead_since_s = None
            elif ahead_since_s is None:
                ahead_since_s = now_s
            elif now_s - ahead_since_s >= MAX_GOSSIP_LEAD_S:
                ahead_since_s = None
                self.watch_scope.cancel()

    def _report_state_change(self) -> None:
        state = self.state()
        if state is not self.reported_state:
            self.reported_state = state
            self.events.write(
                f"configuration:{state.value}",
                revision=self.configuration.revision,
            )
