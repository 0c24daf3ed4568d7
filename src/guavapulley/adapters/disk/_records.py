"""Records with length and checksum, and files that hold them."""

from collections.abc import Callable
from collections.abc import Iterator
import os
import pathlib
import struct
import zlib

from guavapulley import ports

# Payload length and CRC-32 of length and payload, both big-endian.
_HEADER = struct.Struct(">II")
HEADER_BYTES = _HEADER.size
_LENGTH = struct.Struct(">I")

Sync = Callable[[int], None]


def encode(payload: bytes) -> bytes:
    """Returns a record.

    The checksum covers the length, so that a damaged length is found. An
    empty payload is not allowed: zeros of a file that was extended but not
    written would pass for one.

    >>> list(read_all(encode(b"abc") + encode(b"d"), torn_tail=False))
    [(0, b'abc'), (11, b'd')]
    """
    if not payload:
        raise ValueError("a record needs a payload")
    length = _LENGTH.pack(len(payload))
    return (
        length
        + _LENGTH.pack(zlib.crc32(payload, zlib.crc32(length)))
        + (payload)
    )


def _payload_at(data: bytes, offset: int) -> bytes | None:
    """Returns the payload of the record at an offset, or None if damaged."""
    if offset + _HEADER.size > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    if not length or start + length > len(data):
        return None
    payload = data[start : start + length]
    found = zlib.crc32(
        payload, zlib.crc32(data[offset : offset + _LENGTH.size])
    )
    return payload if found == checksum else None


def read_all(data: bytes, *, torn_tail: bool) -> Iterator[tuple[int, bytes]]:
    """Yields offset and payload of each record.

    Each append is one record and is synced before the next one, so that a
    crash damages the last record only. A damaged record with a whole one
    behind it is therefore no torn write.

    Args:
        data: Content of a file.
        torn_tail: Whether the last record may be torn; it is left out then.

    Raises:
        DiskError: A record is damaged.
    """
    offset = 0
    while offset < len(data):
        payload = _payload_at(data, offset)
        if payload is None:
            if torn_tail and not _record_follows(data, offset):
                return
            raise ports.DiskError(
                ports.LOG_CORRUPT, f"the record at byte {offset} is damaged"
            )
        yield offset, payload
        offset += HEADER_BYTES + len(payload)


def _record_follows(data: bytes, offset: int) -> bool:
    positions = range(offset + 1, len(data) - _HEADER.size)
    return any(_payload_at(data, at) is not None for at in positions)


def read_one(path: pathlib.Path) -> bytes | None:
    """Returns the payload of a file with one record, or None without file.

    Raises:
        DiskError: The record is damaged.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    payload = _payload_at(data, 0)
    if payload is None or len(data) != _HEADER.size + len(payload):
        raise ports.DiskError(ports.LOG_CORRUPT, f"{path.name} is damaged")
    return payload


def replace(path: pathlib.Path, payload: bytes, sync: Sync) -> None:
    """Replaces a file by one with one record, as a whole or not at all."""
    temporary = path.with_name(path.name + ".tmp")
    with temporary.open("wb") as file:
        file.write(encode(payload))
        file.flush()
        sync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent, sync)


def sync_folder(folder: pathlib.Path, sync: Sync) -> None:
    """Makes created, renamed and removed names durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        sync(descriptor)
    finally:
        os.close(descriptor)
