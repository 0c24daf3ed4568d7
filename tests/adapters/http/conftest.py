"""Upstreams on raw sockets, whose answers are scripted bytes."""

import contextlib

import pytest
import trio

from guavapulley import model


async def read_request(stream):
    """Returns a request as bytes, or b"" at the end of the stream."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = await stream.receive_some()
        if not received:
            return b""
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += await stream.receive_some()
    return head + b"\r\n\r\n" + body


class RawUpstream:
    """Runs a script for each connection; records connections and requests."""

    def __init__(self, script):
        self.script = script
        self.connections = 0
        self.requests = []
        self.closed = trio.Event()
        self.received = trio.Event()

    async def __call__(self, stream):
        self.connections += 1
        with contextlib.suppress(trio.BrokenResourceError):
            async with stream:
                await self.script(self, stream)
        self.closed.set()

    async def receive(self, stream):
        request = await read_request(stream)
        if request:
            self.requests.append(request)
            self.received.set()
        return request


@pytest.fixture
def raw_upstream():
    """Returns a context manager for a scripted upstream.

    It yields the `RawUpstream` and its upstream record.
    """

    @contextlib.asynccontextmanager
    async def start(script):
        upstream = RawUpstream(script)
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, upstream, listeners)
            port = listeners[0].socket.getsockname()[1]
            record = model.UpstreamRecord(
                "u1",
                "s",
                model.NodeAddress("127.0.0.1", port),
                "pb",
                "pb-1",
                6,
                8,
            )
            yield upstream, record
            nursery.cancel_scope.cancel()

    return start
