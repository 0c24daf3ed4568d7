"""Exchange of records between entries."""

from collections.abc import Iterable
from collections.abc import Iterator
import random

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.membership import _registry
from guavapulley.membership import _rotation

GOSSIP_INTERVAL_S = 0.5
GOSSIP_FANOUT = 2
MAX_RECORDS = 64
# A call must end within its round, so that rounds do not pile up.
CALL_TIMEOUT_S = 0.4
# How often one seed or dead entry is called besides the live ones; this
# joins the two sides of a partition after it has ended.
RECONNECT_ROUNDS = 10
NOTIFY_QUEUE = 1024
MAX_NOTIFY_CALLS = 32


class Gossiper:
    """Exchanges the records of a registry with other entries.

    Args:
        registry: What this entry knows.
        dialer: Makes clients for other entries.
        seeds: Peer addresses from the settings; this entry's own is ignored.
        rng: Chooses whom to call.
        events: Event log.
        metrics: Metrics.
    """

    def __init__(
        self,
        registry: _registry.Registry,
        dialer: ports.PeerDialer,
        seeds: Iterable[model.NodeAddress],
        rng: random.Random,
        events: ports.EventLog | None = None,
        metrics: ports.Metrics | None = None,
    ) -> None:
        self.registry = registry
        self.dialer = dialer
        own = registry.own.peer_address
        self.seeds = [seed for seed in seeds if seed != own]
        self.rng = rng
        self.events = events or ports.NullEventLog()
        self.metrics = metrics or ports.NullMetrics()
        self.clients: dict[model.NodeAddress, ports.PeerClient] = {}
        self.rounds = 0
        self._notices, self._to_notify = trio.open_memory_channel[
            _rotation.Key
        ](NOTIFY_QUEUE)
        registry.notify = self._queue_notice

    async def run(self) -> None:
        """Exchanges records until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._notify_all)
                while True:
                    started = trio.current_time()
                    await self._round()
                    await trio.sleep_until(started + GOSSIP_INTERVAL_S)
        finally:
            with trio.CancelScope(shield=True):
                await self._close(list(self.clients))

    async def handle(self, request: model.Gossip) -> model.GossipReply:
        """Answers the exchange that another entry began."""
        self.registry.merge(request.entries, request.upstreams)
        return self.registry.outgoing(MAX_RECORDS)

    async def _round(self) -> None:
        self.registry.beat()
        self.rounds += 1
        targets = self._targets()
        self.metrics.increment("gossip.calls", len(targets))
        async with trio.open_nursery() as nursery:
            for address in targets:
                records = self.registry.outgoing(MAX_RECORDS)
                nursery.start_soon(self._exchange, address, records)
        wanted = self._wanted()
        await self._close([item for item in self.clients if item not in wanted])

    def _targets(self) -> list[model.NodeAddress]:
        reachable = sorted(self.registry.entries.reachable(), key=str)
        chosen = list(
            self.rng.sample(reachable, min(GOSSIP_FANOUT, len(reachable)))
        )
        alone = not reachable
        if alone or self.rounds % RECONNECT_ROUNDS == 0:
            others = sorted(
                {*self.seeds, *self.registry.entries.lost()} - set(reachable),
                key=str,
            )
            count = GOSSIP_FANOUT if alone else 1
            chosen.extend(self.rng.sample(others, min(count, len(others))))
        return chosen

    def _wanted(self) -> set[model.NodeAddress]:
        return {*self.registry.entries.reachable(), *self.seeds}

    async def _exchange(
        self, address: model.NodeAddress, records: model.GossipReply
    ) -> None:
        request = model.Gossip(
            self.registry.own.name, records.entries, records.upstreams
        )
        client = self.clients.get(address)
        if client is None:
            client = self.clients[address] = self.dialer.dial(address)
        try:
            reply = await client.call(request, CALL_TIMEOUT_S)
        except ports.PeerError as error:
            self.events.write(
                "gossip:failed", peer=str(address), code=error.code
            )
            self.metrics.increment("gossip.failed")
            return
        if isinstance(reply, model.GossipReply):
            self.registry.merge(reply.entries, reply.upstreams)

    def _queue_notice(self, key: _rotation.Key) -> None:
        try:
            self._notices.send_nowait(key)
        except trio.WouldBlock:
            # Gossip carries the record as an urgent change in any case.
            self.metrics.increment("gossip.notices_dropped")

    async def _notify_all(self) -> None:
        """Sends queued records to all other entries at once."""
        async for key in self._to_notify:
            records = self.registry.records([key, *self._more_notices()])
            limit = trio.CapacityLimiter(MAX_NOTIFY_CALLS)
            async with trio.open_nursery() as nursery:
                for address in self.registry.entries.reachable():
                    nursery.start_soon(self._notify, address, records, limit)

    def _more_notices(self) -> Iterator[_rotation.Key]:
        for _ in range(MAX_RECORDS - 1):
            try:
                yield self._to_notify.receive_nowait()
            except trio.WouldBlock:
                return

    async def _notify(
        self,
        address: model.NodeAddress,
        records: model.GossipReply,
        limit: trio.CapacityLimiter,
    ) -> None:
        async with limit:
            await self._exchange(address, records)

    async def _close(self, addresses: Iterable[model.NodeAddress]) -> None:
        for address in addresses:
            await self.clients.pop(address).aclose()
