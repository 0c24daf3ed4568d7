"""Records with length and checksum, and files that contain them."""

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
    """Encodes a payload as a record.

    The checksum covers the length, so that a damaged length is detected. An
    empty payload is not allowed: zeros in a file that was extended but not
    written would be taken for such a record.

    >>> data = encode(b"abc") + encode(b"d")
    >>> list(read_records(data, allow_torn_tail=False))
    [(0, b'abc'), (11, b'd')]
    """
    if not payload:
        raise ValueError("the payload of a record is empty")
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
    length, stored_checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    if not length or start + length > len(data):
        return None
    payload = data[start : start + length]
    computed_checksum = zlib.crc32(
        payload, zlib.crc32(data[offset : offset + _LENGTH.size])
    )
    return payload if computed_checksum == stored_checksum else None


def read_records(
    data: bytes, *, allow_torn_tail: bool
) -> Iterator[tuple[int, bytes]]:
    """Yields offset and payload of each record.

    Each append is one record and is synced before the next one, so that a
    crash damages the last record only. A damaged record that is followed by an
    intact one is therefore not the result of a torn write.

    Args:
        data: Content of a file.
        allow_torn_tail: Whether the last record may be torn; if it is, it is
            skipped.

    Raises:
        DiskError: A record is damaged.
    """
    offset = 0
    while offset < len(data):
        payload = _payload_at(data, offset)
        if payload is None:
            if allow_torn_tail and not _has_intact_record_after(data, offset):
                return
            raise ports.DiskError(
                ports.LOG_CORRUPT, f"the record at byte {offset} is damaged"
            )
        yield offset, payload
        offset += HEADER_BYTES + len(payload)


def _has_intact_record_after(data: bytes, offset: int) -> bool:
    positions = range(offset + 1, len(data) - _HEADER.size)
    return any(
        _payload_at(data, position) is not None for position in positions
    )


def read_single_record(path: pathlib.Path) -> bytes | None:
    """Returns the payload of a one-record file; None if there is no file.

    Raises:
        DiskError: The file is not one intact record.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    payload = _payload_at(data, 0)
    if payload is None or len(data) != _HEADER.size + len(payload):
        raise ports.DiskError(ports.LOG_CORRUPT, f"{path.name} is damaged")
    return payload


def replace_file(path: pathlib.Path, payload: bytes, sync: Sync) -> None:
    """Atomically replaces a file by a file with one record."""
    temporary = path.with_name(path.name + ".tmp")
    with temporary.open("wb") as file:
        file.write(encode(payload))
        file.flush()
        sync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent, sync)


def sync_folder(folder: pathlib.Path, sync: Sync) -> None:
    """Makes created, renamed and removed files in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        sync(descriptor)
    finally:
        os.close(descriptor)
