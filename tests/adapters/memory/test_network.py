"""Guards against an in-memory network that ignores injected faults."""

import pytest

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import memory

A = model.NodeAddress("10.0.0.1", 1)
B = model.NodeAddress("10.0.0.2", 1)


class Handler:
    async def handle(self, request):
        return model.ReadIndexReply(1)


@pytest.mark.parametrize(
    "blocked_link", [(A, B), (B, A)], ids=["request", "reply"]
)
async def test_a_blocked_link_loses_calls_until_it_is_restored(
    autojump_clock, nursery, blocked_link
):
    network = memory.MemoryNetwork(lambda source, target: 0.01)
    await nursery.start(network.run)
    await nursery.start(network.serve, B, Handler())
    client = network.dialer(A).dial(B)
    network.blocked_links = {blocked_link}
    with pytest.raises(ports.PeerError):
        await client.call(model.ReadIndex(), 1)
    network.blocked_links = set()
    assert await client.call(model.ReadIndex(), 1) == model.ReadIndexReply(1)
