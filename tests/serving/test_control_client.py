"""Guards against leader calls that fail at a replica that does not lead."""

import pytest
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley import serving

ADDRESSES = [model.NodeAddress("127.0.0.1", port) for port in (1, 2, 3)]


class Network:
    """Three replicas, one of which leads; silent replicas do not reply."""

    def __init__(self):
        self.leader = ADDRESSES[2]
        self.named_leaders = dict.fromkeys(ADDRESSES, ADDRESSES[2])
        self.silent = set()
        self.calls = []

    def dial(self, address):
        return Client(self, address)


class Client:
    def __init__(self, network, address):
        self.network = network
        self.address = address

    async def call(self, request, timeout_s):
        self.network.calls.append(self.address)
        if self.address in self.network.silent:
            await trio.sleep(timeout_s)
            raise ports.PeerError(ports.CALL_TIMEOUT, "silent")
        await trio.sleep(0.01)
        if self.address != self.network.leader:
            raise ports.PeerReplyError(
                "NOT_LEADER",
                "no",
                leader=str(self.network.named_leaders[self.address]),
            )
        return model.RecordReply(True)


REQUEST = model.ReleaseClaim("k", "r")


async def test_leader_is_cached_after_its_discovery(autojump_clock):
    network = Network()
    client = serving.ControlClient(network, ADDRESSES)
    assert (await client.release_claim(REQUEST, 5)).recorded
    await client.release_claim(REQUEST, 5)
    assert network.calls.count(ADDRESSES[2]) == 2
    assert len(network.calls) <= 3


async def test_failed_leader_is_replaced(autojump_clock):
    network = Network()
    client = serving.ControlClient(network, ADDRESSES)
    await client.release_claim(REQUEST, 5)
    network.silent = {ADDRESSES[2]}
    network.leader = ADDRESSES[0]
    network.named_leaders[ADDRESSES[1]] = ADDRESSES[0]
    assert (await client.release_claim(REQUEST, 5)).recorded


async def test_calls_pause_when_replicas_redirect_to_each_other(
    autojump_clock,
):
    network = Network()
    network.leader = None
    network.named_leaders = dict(
        zip(ADDRESSES, [*ADDRESSES[1:], ADDRESSES[0]], strict=True)
    )
    client = serving.ControlClient(network, ADDRESSES)
    started_at_s = trio.current_time()
    with pytest.raises(ports.PeerError):
        await client.release_claim(REQUEST, 2)
    assert trio.current_time() - started_at_s <= 2
    assert len(network.calls) < 50


async def test_reply_of_an_unexpected_type_is_an_error(autojump_clock):
    network = Network()
    client = serving.ControlClient(network, ADDRESSES)
    with pytest.raises(ports.PeerError) as raised:
        await client.lease_shares(model.LeaseShare("e", ()), 5)
    assert raised.value.code == "CONTROL_INVALID_REPLY"
