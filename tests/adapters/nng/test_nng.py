"""Guards against lost replies and calls that never end."""

import pytest
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import clock as clocks
from guavapulley.adapters import codec
from guavapulley.adapters import nng


class Handler:
    async def handle(self, request):
        if isinstance(request, model.ReadIndex):
            return model.ReadIndexReply(7)
        if isinstance(request, model.GetStatus):
            await trio.sleep_forever()
        raise errors.GuavapulleyError("NO_QUORUM", "no quorum", leader="x")


async def test_calls_get_a_reply_an_error_or_time_out(free_port):
    address = model.NodeAddress("127.0.0.1", free_port())
    envelopes = codec.EnvelopeCodec(codec.MessageCodec(), b"key")
    clock = clocks.LamportClock()
    async with trio.open_nursery() as nursery:
        await nursery.start(
            nng.serve_peers,
            address,
            Handler(),
            envelopes,
            "server",
            clocks.LamportClock(),
            ports.NullEventLog(),
        )
        client = nng.NngDialer(envelopes, "client", clock).dial(address)
        reply = await client.call(model.ReadIndex(), 5)
        with pytest.raises(ports.PeerReplyError) as error_reply:
            await client.call(model.GetOutcome("k"), 5)
        with pytest.raises(ports.PeerError) as timed_out:
            await client.call(model.GetStatus(), 0.1)
        await client.aclose()
        nursery.cancel_scope.cancel()
    assert reply == model.ReadIndexReply(7)
    assert error_reply.value.code == "NO_QUORUM"
    assert error_reply.value.details == {"leader": "x"}
    assert timed_out.value.code == ports.CALL_TIMEOUT
    assert clock.value > 2
