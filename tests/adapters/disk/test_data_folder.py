"""Guards against log records that are lost, invented or silently damaged."""

import os
import pathlib
import tempfile

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import codec
from guavapulley.adapters import disk

CODEC = codec.MessageCodec()
IDENTITY = model.ReplicaIdentity("cluster", "replica", "c1")


def entry(index, term=1, payload=b"x" * 20):
    return model.LogEntry(index, term, model.EntryKind.COMMAND, payload)


def entries(first, last, term=1):
    return tuple(entry(index, term) for index in range(first, last + 1))


def snapshot(index):
    member = model.ReplicaMember(
        "replica", "c1", model.NodeAddress("127.0.0.1", 1), True
    )
    return model.Snapshot(index, 1, model.ReplicaSet((member,)), b"state")


async def load_folder(path):
    folder = disk.DataFolder(path, CODEC)
    try:
        return await folder.load()
    finally:
        folder.close()


def segment_paths(path):
    return sorted(path.glob("log-*"))


async def run_steps(path, *steps):
    """Runs steps such as `("append", entries)` on a folder."""
    folder = disk.DataFolder(path, CODEC)
    await folder.load()
    for method, *arguments in steps:
        await getattr(folder, method)(*arguments)
    folder.close()


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        ([], ports.StoredLog()),
        (
            [("save_identity", IDENTITY), ("save_vote", 3, "b")],
            ports.StoredLog(IDENTITY, 3, "b"),
        ),
        (
            [("append", entries(1, 3)), ("append", entries(4, 5))],
            ports.StoredLog(entries=entries(1, 5)),
        ),
        (
            [
                ("append", entries(1, 5)),
                ("truncate_from", 3),
                ("append", entries(3, 4, term=2)),
            ],
            ports.StoredLog(entries=entries(1, 2) + entries(3, 4, term=2)),
        ),
        (
            [
                ("append", entries(1, 5)),
                ("save_snapshot", snapshot(3)),
                ("append", entries(6, 7)),
            ],
            ports.StoredLog(snapshot=snapshot(3), entries=entries(4, 7)),
        ),
        (
            [
                ("append", entries(1, 5)),
                ("save_snapshot", snapshot(9)),
                ("save_snapshot", snapshot(4)),
                ("append", entries(10, 11)),
            ],
            ports.StoredLog(snapshot=snapshot(9), entries=entries(10, 11)),
        ),
        (
            [
                ("append", entries(1, 5)),
                ("save_snapshot", snapshot(3)),
                ("truncate_from", 4),
                ("append", entries(4, 4, term=2)),
                ("save_snapshot", snapshot(4)),
            ],
            ports.StoredLog(snapshot=snapshot(4)),
        ),
    ],
)
async def test_load_returns_what_was_stored(tmp_path, steps, expected):
    await run_steps(tmp_path, *steps)
    assert await load_folder(tmp_path) == expected


async def test_snapshots_remove_covered_files(tmp_path):
    steps = [
        step
        for last in range(10, 101, 10)
        for step in (
            ("append", entries(last - 9, last)),
            ("save_snapshot", snapshot(last - 2)),
        )
    ]
    await run_steps(tmp_path, *steps)
    # The file with the entries after the snapshot, and the current file.
    assert len(segment_paths(tmp_path)) <= 2
    assert len(list(tmp_path.glob("snapshot-*"))) == 1
    await run_steps(tmp_path, ("save_snapshot", snapshot(100)))
    assert [path.stat().st_size for path in segment_paths(tmp_path)] == [0]
    await run_steps(tmp_path, ("append", entries(101, 102)))
    assert await load_folder(tmp_path) == ports.StoredLog(
        snapshot=snapshot(100), entries=entries(101, 102)
    )


@settings(max_examples=40, deadline=None)
@given(st.data())
def test_a_torn_last_record_is_removed(data):
    async def check(path):
        await run_steps(path, ("append", entries(1, 3)))
        intact_size = segment_paths(path)[0].stat().st_size
        await run_steps(path, ("append", entries(4, 9)))
        content = segment_paths(path)[0].read_bytes()
        size = data.draw(
            st.integers(intact_size, len(content) - 1), label="size"
        )
        zeros = data.draw(st.integers(0, 50), label="zeros")
        segment_paths(path)[0].write_bytes(content[:size] + b"\0" * zeros)
        assert (await load_folder(path)).entries == entries(1, 3)
        await run_steps(path, ("append", entries(4, 5)))
        assert (await load_folder(path)).entries == entries(1, 5)

    with tempfile.TemporaryDirectory() as folder:
        trio.run(check, pathlib.Path(folder))


@settings(max_examples=60, deadline=None)
@given(st.data())
def test_a_damaged_record_before_the_last_is_reported(data):
    async def check(path):
        await run_steps(
            path, ("append", entries(1, 3)), ("append", entries(4, 5))
        )
        size_before = segment_paths(path)[0].stat().st_size
        await run_steps(path, ("append", entries(6, 7)))
        content = bytearray(segment_paths(path)[0].read_bytes())
        position = data.draw(st.integers(0, size_before - 1), label="position")
        content[position] ^= data.draw(st.integers(1, 255), label="flip")
        segment_paths(path)[0].write_bytes(content)
        with pytest.raises(ports.DiskError) as failed:
            await load_folder(path)
        assert failed.value.code == ports.LOG_CORRUPT

    with tempfile.TemporaryDirectory() as folder:
        trio.run(check, pathlib.Path(folder))


@pytest.mark.parametrize("name", ["identity", "vote", "snapshot-*", "log-*1"])
async def test_damaged_files_are_reported(tmp_path, name):
    await run_steps(
        tmp_path,
        ("save_identity", IDENTITY),
        ("save_vote", 1, None),
        ("append", entries(1, 5)),
        ("save_snapshot", snapshot(3)),
        ("append", entries(6, 7)),
    )
    path = next(tmp_path.glob(name))
    content = path.read_bytes()
    path.write_bytes(content[:-1] + bytes([content[-1] ^ 1]))
    with pytest.raises(ports.DiskError) as failed:
        await load_folder(tmp_path)
    assert failed.value.code == ports.LOG_CORRUPT


@pytest.mark.parametrize(
    ("method", "arguments"),
    [
        ("append", (entries(1, 2),)),
        ("save_vote", (2, "b")),
        ("save_identity", (IDENTITY,)),
        ("save_snapshot", (snapshot(1),)),
    ],
)
async def test_all_calls_fail_after_a_failed_sync(tmp_path, method, arguments):
    failing = []

    def sync(descriptor):
        if failing:
            raise OSError("no space left on device")
        os.fsync(descriptor)

    folder = disk.DataFolder(tmp_path, CODEC, sync)
    await folder.load()
    failing.append(True)
    with pytest.raises(ports.DiskError):
        await getattr(folder, method)(*arguments)
    failing.clear()
    with pytest.raises(ports.DiskError) as failed:
        await folder.save_vote(3, "c")
    assert failed.value.code == ports.DISK_FAILED
    folder.close()


async def test_a_folder_in_use_is_refused(tmp_path):
    folder = disk.DataFolder(tmp_path, CODEC)
    await folder.load()
    with pytest.raises(ports.DiskError) as failed:
        await load_folder(tmp_path)
    assert failed.value.code == ports.DISK_FAILED
    folder.close()
    await load_folder(tmp_path)
