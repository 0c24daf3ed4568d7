"""Guards against tables that occupy a slow link for seconds, and bad frames."""

import struct
import types
import zlib

import pytest
import trio

from guavapulley import model
from guavapulley.adapters import codec
from guavapulley.adapters.stream import _frames

# Capacity of the smallest link to an edge, 2 Mbit/s. It also carries the
# traffic of the edge.
SMALLEST_LINK_BYTES_PER_S = 250_000


class Stream:
    """Stream that returns the given bytes and then ends."""

    def __init__(self, data):
        self.data = data

    async def receive_some(self, count):
        chunk, self.data = self.data[:count], self.data[count:]
        return chunk


def collect_into(parts):
    async def send_all(data):
        await trio.lowlevel.checkpoint()
        parts.append(bytes(data))

    return send_all


async def read(data):
    return [frame async for frame in _frames.read_frames(Stream(data))]


@pytest.mark.parametrize("size", [0, 10, 1_399, 1_400, 100_000])
async def test_messages_of_any_size_arrive(size):
    message = b"x" * size
    data = _frames.pack(7, message) + _frames.pack(8, b"next")
    assert await read(data) == [(7, message), (8, b"next")]


@pytest.mark.parametrize(
    ("size", "reports"), [(10, 0), (16_384, 0), (16_385, 2), (100_000, 7)]
)
async def test_progress_of_large_frames_only_is_reported(size, reports):
    frame, sent, progress = bytes(size), [], []
    stream = types.SimpleNamespace(send_all=collect_into(sent))
    await _frames.send_frame(stream, frame, lambda: progress.append(1))
    assert b"".join(sent) == frame
    assert len(progress) == reports


async def test_a_large_table_reaches_an_edge_within_one_watch():
    # Without compression every watch timed out, after 1.2 s, before the table
    # had arrived.
    routes = tuple(
        model.Route(
            f"r-{number * 7919 % 10_007:x}",
            f"h{number * 104_729 % 1_000_003:x}.example",
            f"/{number * 1_299_709 % 999_983:x}/",
            model.Repeatability.IDEMPOTENT,
            1.2,
            0.4,
            2,
            (model.Destination("stock"),),
        )
        for number in range(1_500)
    )
    table = model.RoutingTable(2, routes)
    messages = codec.MessageCodec()
    changes = model.FleetChanges(model.FleetState(2, table), ())
    update = model.FleetUpdate(2, messages.encode(changes), 0.0)
    frame = _frames.pack(1, messages.encode(update))
    assert len(frame) < SMALLEST_LINK_BYTES_PER_S / 4


COMPRESSED = zlib.compress(b"x" * 2_000)


@pytest.mark.parametrize(
    "body",
    [
        b"no zlib at all",
        COMPRESSED[:-4],
        zlib.compress(bytes(_frames.MAX_FRAME_BYTES + 1)),
    ],
)
async def test_an_invalid_compressed_frame_is_refused(body):
    header = struct.pack("!II", len(body) | _frames.COMPRESSED_FLAG, 1)
    with pytest.raises(_frames.FrameError):
        await read(header + body)
