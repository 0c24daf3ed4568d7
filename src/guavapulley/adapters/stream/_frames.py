"""Frames, which consist of a length, a call number and an encoded message.

The highest bit of the length is set if the message is compressed.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import struct
import zlib

import trio

_HEADER = struct.Struct("!II")
MAX_FRAME_BYTES = 16 * 1_048_576
COMPRESSED_FLAG = 1 << 31
# A routing table of 1,500 routes has 378 KB, or 39 KB compressed. Uncompressed
# it occupies a link of 2 Mbit/s for 1.5 s. Messages below this size fit into
# one packet anyway.
COMPRESSION_THRESHOLD_BYTES = 1_400
# The fastest level; the highest one makes such a table only a tenth smaller.
COMPRESSION_LEVEL = 1
RECEIVE_BYTES = 65_536
# Bytes of a frame after whose transmission progress is reported.
SEND_BYTES = 16_384


class FrameError(Exception):
    """The received bytes are not a valid frame."""


def pack(call_number: int, message: bytes) -> bytes:
    """Returns a frame.

    Args:
        call_number: Number of the call; the reply has the same number.
        message: Encoded message.
    """
    if len(message) < COMPRESSION_THRESHOLD_BYTES:
        return _HEADER.pack(len(message), call_number) + message
    compressed = zlib.compress(message, COMPRESSION_LEVEL)
    return (
        _HEADER.pack(len(compressed) | COMPRESSED_FLAG, call_number)
        + compressed
    )


def _decompress(data: bytes) -> bytes:
    """Decompresses a message.

    Raises:
        FrameError: The data cannot be decompressed, or the message is longer
            than `MAX_FRAME_BYTES`.
    """
    decompressor = zlib.decompressobj()
    try:
        message = decompressor.decompress(data, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise FrameError("a compressed frame cannot be decompressed") from error
    if not decompressor.eof:
        raise FrameError("a compressed frame is truncated or too long")
    return message


async def send_frame(
    stream: trio.SocketStream, frame: bytes, on_progress: Callable[[], None]
) -> None:
    """Sends a frame.

    Args:
        stream: Connection to the peer.
        frame: Frame from `pack`.
        on_progress: Called whenever a part of a large frame has been sent.

    Raises:
        trio.BrokenResourceError: The connection is broken.
    """
    view = memoryview(frame)
    for start in range(0, len(frame), SEND_BYTES):
        await stream.send_all(view[start : start + SEND_BYTES])
        if len(frame) > SEND_BYTES:
            on_progress()


async def read_frames(
    stream: trio.SocketStream, on_progress: Callable[[], None] = lambda: None
) -> AsyncIterator[tuple[int, bytes]]:
    """Yields the call number and the message of each received frame.

    Ends when the peer closes the connection between two frames.

    Args:
        stream: Connection to the peer.
        on_progress: Called whenever a further part of an incomplete frame has
            been received.

    Raises:
        FrameError: A frame is too long, truncated or cannot be decompressed.
    """
    buffer = bytearray()
    while True:
        while len(buffer) >= _HEADER.size:
            length_field, call_number = _HEADER.unpack_from(buffer)
            length = length_field & ~COMPRESSED_FLAG
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"a frame of {length} bytes is too long")
            end = _HEADER.size + length
            if len(buffer) < end:
                break
            message = bytes(buffer[_HEADER.size : end])
            del buffer[:end]
            yield (
                call_number,
                _decompress(message)
                if length_field & COMPRESSED_FLAG
                else message,
            )
        if buffer:
            on_progress()
        data = await stream.receive_some(RECEIVE_BYTES)
        if not data:
            if buffer:
                raise FrameError("the connection ended inside a frame")
            return
        buffer += data
