"""Simulated entries for the tests of membership."""

import random

import pytest

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
    """Entries that gossip over one network; each can be cut off."""

    def __init__(self, nursery, count, seed):
        print(f"seed {seed}")  # shown by pytest when a test fails
        self.cut = set()
        self.nursery = nursery
        self.network = memory.MemoryNetwork(
            delay_s=lambda source, target: 0.035, passes=self.passes
        )
        self.seeds = [entry(index).peer_address for index in range(2)]
        self.rng = random.Random(seed)
        self.registries = {}
        self.gossipers = {}
        for index in range(count):
            self.add(entry(index))

    def add(self, own):
        registry = membership.Registry(own)
        gossiper = membership.Gossiper(
            registry,
            self.network.dialer(own.peer_address),
            self.seeds,
            random.Random(self.rng.random()),
        )
        self.network.handlers[own.peer_address] = gossiper
        self.registries[own.name] = registry
        self.gossipers[own.name] = gossiper
        self.nursery.start_soon(gossiper.run)

    def passes(self, source, target):
        return (source in self.cut) == (target in self.cut)

    def isolate(self, names):
        self.cut = {self.registries[n].own.peer_address for n in names}

    def live(self, observer):
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
