"""Entries on a simulated network for the tests of membership."""

import random

import pytest
import trio
import trio._core._run as trio_run

from guavapulley import membership
from guavapulley import model
from guavapulley.adapters import memory

REGIONS = ("pb", "za", "tn")


def upstream(name="u1", **fields):
    values = {
        "upstream": name,
        "service": "line-status",
        "address": model.NodeAddress("10.0.1.1", 80),
        "region": "pb",
        "failure_domain": "pb1",
        "slots": 6,
        "max_connections": 330,
        "incarnation": 1,
    }
    return model.UpstreamRecord(**values | fields)


def entry(index, **fields):
    address = model.NodeAddress("10.0.0.1", index)
    region = REGIONS[index % 3]
    values = {
        "name": f"e{index:02}",
        "region": region,
        "failure_domain": f"{region}1",
        "address": address,
        "peer_address": address,
        "incarnation": 1,
        "heartbeat": 0,
        "state": model.EntryState.ALIVE,
    }
    return model.EntryRecord(**values | fields)


class Entries:
    """Entries that gossip over one network and can be partitioned."""

    def __init__(self, nursery, count, seed):
        print(f"seed {seed}")  # shown by pytest when a test fails
        # Makes a failure reproducible by its seed.
        trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
        trio_run._r.seed(seed)
        self.nursery = nursery
        self.network = memory.MemoryNetwork(lambda source, target: 0.035)
        nursery.start_soon(self.network.run)
        self.seeds = [entry(index).peer_address for index in range(2)]
        self.rng = random.Random(seed)
        self.registries = {}
        self.gossipers = {}
        for index in range(count):
            self.add(entry(index))

    def add(self, own_record):
        registry = membership.Registry(own_record)
        gossiper = membership.Gossiper(
            registry,
            self.network.dialer(own_record.peer_address),
            self.seeds,
            random.Random(self.rng.random()),
        )
        self.registries[own_record.name] = registry
        self.gossipers[own_record.name] = gossiper
        self.nursery.start_soon(
            self.network.serve, own_record.peer_address, gossiper
        )
        self.nursery.start_soon(self.run_gossiper, gossiper)

    async def run_gossiper(self, gossiper):
        await trio.sleep(0.01)  # after the network has been started
        await gossiper.run()

    def isolate(self, names):
        addresses = {
            n: r.own_record.peer_address for n, r in self.registries.items()
        }
        self.network.blocked_links = {
            (addresses[source], addresses[target])
            for source in addresses
            for target in addresses
            if (source in names) != (target in names)
        }

    def block_outgoing(self, name):
        own_address = self.registries[name].own_record.peer_address
        self.network.blocked_links = {
            (own_address, registry.own_record.peer_address)
            for registry in self.registries.values()
        }

    def live_names(self, observer):
        return {e.name for e in self.registries[observer].live_entries()}


@pytest.fixture
def make_upstream():
    return upstream


@pytest.fixture
def make_entry():
    return entry


@pytest.fixture
def make_entries(nursery, autojump_clock):
    return lambda count, seed: Entries(nursery, count, seed)
