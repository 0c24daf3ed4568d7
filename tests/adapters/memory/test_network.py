"""Guards against a network in memory that ignores the faults of tests."""

import pytest

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import memory

A = model.NodeAddress("10.0.0.1", 1)
B = model.NodeAddress("10.0.0.2", 1)


class Handler:
    async def handle(self, request):
        return model.ReadIndexReply(1)


@pytest.mark.parametrize("cut", [(A, B), (B, A)], ids=["request", "reply"])
async def test_a_cut_link_loses_calls_until_it_is_restored(
    autojump_clock, nursery, cut
):
    network = memory.MemoryNetwork(lambda source, target: 0.01)
    await nursery.start(network.run)
    await nursery.start(network.serve, B, Handler())
    client = network.dialer(A).dial(B)
    network.cuts = {cut}
    with pytest.raises(ports.PeerError):
        await client.call(model.ReadIndex(), 1)
    network.cuts = set()
    assert await client.call(model.ReadIndex(), 1) == model.ReadIndexReply(1)
