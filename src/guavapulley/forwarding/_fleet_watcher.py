"""Keeps a process up to date with the fleet state."""

from collections.abc import Callable
from collections.abc import Iterable
import math

import attrs
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports

# Also the interval at which a replica must confirm that it is up to date.
WATCH_WAIT_S = 0.7
# Allows for the wait and a round trip between regions on a slow machine. A
# large update may take longer as long as it makes progress.
WATCH_TIMEOUT_S = WATCH_WAIT_S + 0.5
# A replica that last reached a quorum longer ago may miss changes.
MAX_QUORUM_AGE_S = 0.9
PROBE_TIMEOUT_S = 0.6
RETRY_DELAY_S = 0.1
# Changes that follow each other faster are received and applied together, so
# that the work of an entry is bounded while hundreds of nodes start.
MIN_UPDATE_INTERVAL_S = 0.25


class FleetWatcher:
    """Watches the fleet state at a control replica; its index never decreases.

    Args:
        dialer: Creates clients of control replicas.
        get_seeds: Returns the peer addresses of some control replicas.
        get_node: Returns the record of this entry; None if the process is not
            an entry.
        codec: Codec of the changes.
        events: Log of state changes.

    Attributes:
        state: The current state.
        on_change: Called after each change of the state.
        confirmed_s: Time at which a replica last confirmed the state.
        updated_s: Time of the last update of the state.
        ready: Set once a state with a routing table has been received.
    """

    def __init__(
        self,
        dialer: ports.PeerDialer,
        get_seeds: Callable[[], Iterable[model.NodeAddress]],
        get_node: Callable[[], model.NodeRecord | None],
        codec: ports.Codec,
        events: ports.EventLog,
    ) -> None:
        self.get_seeds = get_seeds
        self.get_node = get_node
        self.codec = codec
        self.events = events
        self.state = model.FleetState()
        self.on_change: Callable[[model.FleetState], None] = lambda state: None
        self.confirmed_s = 0.0
        self.updated_s = -math.inf
        self.ready = trio.Event()
        self.replicas: tuple[model.NodeAddress, ...] = ()
        self.clients = ports.PeerClientPool(dialer)
        self.watch_scope = trio.CancelScope()

    async def run(self) -> None:
        """Watches the nearest up-to-date replica until cancelled."""
        while True:
            replica = await self._find_replica()
            if replica is None:
                await trio.sleep(RETRY_DELAY_S)
                continue
            self.events.write("fleet:watches", replica=str(replica))
            while await self._watch(replica):
                pass

    def refresh(self) -> None:
        """Restarts the watch to send a changed node record to the replica."""
        self.watch_scope.cancel()

    async def _find_replica(self) -> model.NodeAddress | None:
        """Returns the first replica to answer with a recent quorum, or None."""
        responders: list[model.NodeAddress] = []
        addresses = dict.fromkeys((*self.replicas, *self.get_seeds()))

        async with trio.open_nursery() as nursery:

            async def probe(address: model.NodeAddress) -> None:
                client = self.clients.client(address)
                try:
                    status = await client.call(
                        model.GetStatus(), PROBE_TIMEOUT_S
                    )
                except ports.PeerError:
                    return  # Another replica may answer.
                if (
                    isinstance(status, model.ReplicaStatus)
                    and status.quorum_age_s < MAX_QUORUM_AGE_S
                ):
                    responders.append(address)
                    nursery.cancel_scope.cancel()

            for address in addresses:
                nursery.start_soon(probe, address)
        return responders[0] if responders else None

    async def _watch(self, replica: model.NodeAddress) -> bool:
        """Sends one watch request and applies the reply.

        Returns:
            Whether the replica is still usable.
        """
        await trio.sleep_until(self.updated_s + MIN_UPDATE_INTERVAL_S)
        sent_s = trio.current_time()
        request = model.WatchFleet(
            self.get_node(), self.state.index, WATCH_WAIT_S
        )
        reply: model.PeerMessage | None = None
        with trio.CancelScope() as self.watch_scope:
            try:
                reply = await self.clients.client(replica).call(
                    request, WATCH_TIMEOUT_S
                )
            except ports.PeerError as error:
                self._log_lost(replica, error)
                return False
        if self.watch_scope.cancelled_caught:
            return True
        if not isinstance(reply, model.FleetUpdate):
            return False
        if reply.quorum_age_s > MAX_QUORUM_AGE_S:
            self.events.write(
                "fleet:replica_stale",
                replica=str(replica),
                quorum_age_s=reply.quorum_age_s,
            )
            return False
        try:
            self._apply_update(reply)
        except errors.GuavapulleyError as error:
            self._log_lost(replica, error)
            return False
        self.confirmed_s = sent_s - reply.quorum_age_s
        return True

    def _log_lost(
        self, replica: model.NodeAddress, error: errors.GuavapulleyError
    ) -> None:
        self.events.write(
            "fleet:replica_lost",
            replica=str(replica),
            code=error.code,
            reason=error.message,
        )

    def _apply_update(self, update: model.FleetUpdate) -> None:
        self.replicas = update.replicas
        if update.index <= self.state.index:
            return
        state = self._updated_state(update)
        changed = state != attrs.evolve(self.state, index=state.index)
        self.state = state
        self.updated_s = trio.current_time()
        if changed:
            self.events.write(
                "fleet:applied",
                index=state.index,
                version=state.routing.version,
                upstreams=len(state.upstreams),
                evacuated=list(state.evacuated),
            )
            self.on_change(state)
        if state.routing.version > 0:
            self.ready.set()

    def _updated_state(self, update: model.FleetUpdate) -> model.FleetState:
        content = self.codec.decode(update.encoded_changes)
        assert isinstance(content, model.FleetChanges)
        if content.state is not None:
            return content.state
        return attrs.evolve(
            model.apply_fleet_commands(self.state, content.changes),
            index=update.index,
        )
