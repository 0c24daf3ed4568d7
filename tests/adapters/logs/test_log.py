"""Guards against events that cannot be ordered and against logged secrets."""

import json
import os
import pathlib
import time

import pytest

from guavapulley import ports
from guavapulley.adapters import clock
from guavapulley.adapters import logs

TOKEN = "0123456789abcdef"


@pytest.fixture
def log(tmp_path):
    event_log = logs.EliotEventLog(
        tmp_path / "log" / "entry.log",
        "pb-1",
        "entry",
        clock.LamportClock(),
        (TOKEN,),
    )
    yield event_log
    event_log.close()


def read(log):
    path = pathlib.Path(log.sink.file.name)
    return [json.loads(line) for line in path.read_text().splitlines()]


def test_events_have_node_clock_and_sequence(log):
    log.write("request:admitted", request_id="r1")
    log.clock.observe(40)
    log.write("request:answered", request_id="r1", status=200)
    first, second = read(log)[1:]
    assert first["message_type"] == "request:admitted"
    assert (second["node"], second["role"]) == ("pb-1", "entry")
    assert second["sequence"] == first["sequence"] + 1
    assert (first["clock"], second["clock"]) == (2, 41)


SECRETS = [
    {"operator_token": TOKEN},
    {"headers": {"Authorization": "x"}},
    {"reason": f"refused Bearer {TOKEN}"},
    {"items": [{"deep": f"<{TOKEN}>"}]},
]


@pytest.mark.parametrize("fields", SECRETS)
def test_secrets_are_not_written(log, fields):
    log.write("event", **fields)
    line = json.dumps(read(log)[-1])
    assert TOKEN not in line
    assert "[redacted]" in line


UNUSUAL_VALUES = [
    float("nan"),
    2**80,
    "\ud800",
    b"\xff",
    object(),
    {1: {2: {3: {4: {}}}}},
]


@pytest.mark.parametrize("value", UNUSUAL_VALUES, ids=str)
def test_any_value_can_be_written(log, value):
    log.write("event", value=value, node="other", clock=-1, message_type="x")
    line = read(log)[-1]
    assert (line["node"], line["message_type"]) == ("pb-1", "event")
    assert line["clock"] == 2


def test_lost_lines_are_counted_and_raise_no_error(log):
    original = log.sink.file

    class FullDisk:
        def write(self, data):
            return original.write(data[:5])

    log.sink.file = FullDisk()
    log.write("lost")
    log.write("lost")
    log.sink.file = original
    log.write("written")
    last = json.loads(pathlib.Path(original.name).read_text().splitlines()[-1])
    assert last["message_type"] == "written"
    assert last["lines_lost_before"] == 2


def test_restarted_process_continues_the_clock(log):
    log.write("event")
    log.sink.write(b'{"clock": 99, "torn')
    path = pathlib.Path(log.sink.file.name)
    lamport_clock = clock.LamportClock()
    logs.EliotEventLog(path, "pb-1", "entry", lamport_clock).close()
    assert lamport_clock.value == 3


def test_unwritable_folder_is_reported(tmp_path):
    (tmp_path / "file").write_text("")
    with pytest.raises(logs.LogError) as caught:
        logs.EliotEventLog(
            tmp_path / "file" / "x.log", "n", "entry", clock.LamportClock()
        )
    assert caught.value.code == logs.LOG_UNWRITABLE


def test_a_blocked_reader_delays_no_writer_and_failures_are_kept():
    reader, writer = os.pipe()
    stream = logs.StreamSink(writer, max_queued_lines=400)
    log = logs.EliotEventLog(stream, "pb-1", "edge", clock.LamportClock())
    started_s = time.monotonic()
    for number in range(3_000):
        log.write(
            ports.REQUEST_ANSWERED_EVENT, request_id=str(number), pad="x" * 200
        )
    for number in range(50):
        log.write("request:failed", request_id=str(number))
    assert time.monotonic() - started_s < 5
    received = b""
    while b'"request_id":"49","node"' not in received.replace(b" ", b""):
        received += os.read(reader, 65_536)
    log.close()
    lines = [json.loads(line) for line in received.splitlines()]
    message_types = [line.get("message_type") for line in lines]
    assert message_types.count("request:failed") == 50
    assert message_types.count(ports.REQUEST_ANSWERED_EVENT) < 3_000
    assert any(line.get("lines_lost_before") for line in lines)
    os.close(reader)
    os.close(writer)
