"""Gossip of records between entries."""

from collections.abc import Iterable
from collections.abc import Iterator
import random

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.membership import _gossip_queue
from guavapulley.membership import _registry

GOSSIP_INTERVAL_S = 0.5
GOSSIP_FANOUT = 2
MAX_MESSAGE_RECORDS = 64
# Less than `GOSSIP_INTERVAL_S`, so that a call ends within its round and rounds
# do not queue up.
CALL_TIMEOUT_S = 0.4
# Number of rounds after which one seed or dead entry is called besides the live
# entries. This merges the two sides of a partition after it has ended.
RECONNECT_INTERVAL_ROUNDS = 10
MAX_QUEUED_NOTIFICATIONS = 1024
MAX_CONCURRENT_NOTIFICATIONS = 32


class Gossiper:
    """Exchanges the records of a registry with other entries.

    Args:
        registry: Records of this entry.
        dialer: Creates clients of other entries.
        seeds: Peer addresses from the settings. The address of this entry is
            ignored.
        rng: Chooses the entries to call.
        events: Receives failed calls.
        metrics: Receives the numbers of calls, failures and dropped
            notifications.

    Attributes:
        clients: Clients of other entries by address.
        rounds: Number of gossip rounds so far.
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
        own_address = registry.own_record.peer_address
        self.seeds = [seed for seed in seeds if seed != own_address]
        self.rng = rng
        self.events = events or ports.NullEventLog()
        self.metrics = metrics or ports.NullMetrics()
        self.clients: dict[model.NodeAddress, ports.PeerClient] = {}
        self.rounds = 0
        self._notification_sender, self._notification_receiver = (
            trio.open_memory_channel[_gossip_queue.Key](
                MAX_QUEUED_NOTIFICATIONS
            )
        )
        registry.notify = self._queue_notification

    async def run(self) -> None:
        """Exchanges records with other entries until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_notifications)
                while True:
                    started_at_s = trio.current_time()
                    await self._run_round()
                    await trio.sleep_until(started_at_s + GOSSIP_INTERVAL_S)
        finally:
            with trio.CancelScope(shield=True):
                await self._close_clients(list(self.clients))

    async def handle(self, request: model.Gossip) -> model.GossipReply:
        """Merges the records of another entry and returns records for it."""
        self.registry.merge(request.entries, request.upstreams)
        return self.registry.next_records(MAX_MESSAGE_RECORDS)

    async def _run_round(self) -> None:
        self.registry.begin_round()
        self.rounds += 1
        targets = self._choose_targets()
        self.metrics.increment("gossip.calls", len(targets))
        async with trio.open_nursery() as nursery:
            for address in targets:
                records = self.registry.next_records(MAX_MESSAGE_RECORDS)
                nursery.start_soon(self._exchange, address, records)
        retained = self._retained_addresses()
        await self._close_clients(
            [address for address in self.clients if address not in retained]
        )

    def _choose_targets(self) -> list[model.NodeAddress]:
        reachable_addresses = sorted(
            self.registry.entry_table.reachable_addresses(), key=str
        )
        targets = list(
            self.rng.sample(
                reachable_addresses,
                min(GOSSIP_FANOUT, len(reachable_addresses)),
            )
        )
        is_isolated = not reachable_addresses
        if is_isolated or self.rounds % RECONNECT_INTERVAL_ROUNDS == 0:
            unreachable_addresses = sorted(
                {*self.seeds, *self.registry.entry_table.dead_addresses()}
                - set(reachable_addresses),
                key=str,
            )
            count = GOSSIP_FANOUT if is_isolated else 1
            targets.extend(
                self.rng.sample(
                    unreachable_addresses,
                    min(count, len(unreachable_addresses)),
                )
            )
        return targets

    def _retained_addresses(self) -> set[model.NodeAddress]:
        return {*self.registry.entry_table.reachable_addresses(), *self.seeds}

    async def _exchange(
        self, address: model.NodeAddress, records: model.GossipReply
    ) -> None:
        request = model.Gossip(
            self.registry.own_record.name, records.entries, records.upstreams
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

    def _queue_notification(self, key: _gossip_queue.Key) -> None:
        try:
            self._notification_sender.send_nowait(key)
        except trio.WouldBlock:
            # The regular gossip still carries the record as an urgent change.
            self.metrics.increment("gossip.notices_dropped")

    async def _send_notifications(self) -> None:
        """Sends queued records to all reachable entries without delay."""
        async for key in self._notification_receiver:
            records = self.registry.records(
                [key, *self._dequeue_notifications()]
            )
            limit = trio.CapacityLimiter(MAX_CONCURRENT_NOTIFICATIONS)
            async with trio.open_nursery() as nursery:
                for address in self.registry.entry_table.reachable_addresses():
                    nursery.start_soon(
                        self._notify_entry, address, records, limit
                    )

    def _dequeue_notifications(self) -> Iterator[_gossip_queue.Key]:
        for _ in range(MAX_MESSAGE_RECORDS - 1):
            try:
                yield self._notification_receiver.receive_nowait()
            except trio.WouldBlock:
                return

    async def _notify_entry(
        self,
        address: model.NodeAddress,
        records: model.GossipReply,
        limit: trio.CapacityLimiter,
    ) -> None:
        async with limit:
            await self._exchange(address, records)

    async def _close_clients(
        self, addresses: Iterable[model.NodeAddress]
    ) -> None:
        for address in addresses:
            await self.clients.pop(address).aclose()
