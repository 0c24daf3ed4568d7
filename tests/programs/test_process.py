"""Guards against processes that end without saying why."""

import json
import os
import signal

import pytest
import trio

from guavapulley import errors
from guavapulley.adapters import settings
from guavapulley.programs import _process

TEXT = """\
[node]
name = pb-1
region = pb
failure_domain = pb-a

[listen]
http = 127.0.0.1:8080
peer = 127.0.0.1:9080

[control]
peers = 127.0.0.1:9180

[files]
log_file = entry.log
cluster_key_file = key
operator_token_file = key
upstream_token_file = key

[metrics]
statsd = 127.0.0.1:8125
"""


@pytest.fixture
def found(tmp_path):
    (tmp_path / "key").write_text("0123456789abcdef")
    (tmp_path / "key").chmod(0o600)
    return settings.parse_process_settings(
        TEXT, settings.Role.ENTRY, "s.ini", tmp_path
    )


def events(found):
    lines = found.log_file.read_text().splitlines()
    return [json.loads(line) for line in lines]


def names(found):
    return [event.get("message_type") for event in events(found)][1:]


def test_signal_asks_the_role_to_stop(found):
    stopped = []

    async def role(process):
        os.kill(os.getpid(), signal.SIGTERM)
        await process.stopping.wait()
        stopped.append(True)

    _process.run(found, role)
    assert stopped == [True]
    assert names(found) == [
        "process:started",
        "process:signal",
        "process:ended",
    ]


def test_second_signal_ends_the_role_at_once(found):
    async def role(process):
        os.kill(os.getpid(), signal.SIGINT)
        await process.stopping.wait()
        os.kill(os.getpid(), signal.SIGINT)
        await trio.sleep_forever()

    _process.run(found, role)
    assert names(found)[-1] == "process:ended"


def test_failure_in_a_nursery_is_logged_and_raised_alone(found):
    async def fail():
        raise errors.GuavapulleyError("DISK_FAILED", "no space left")

    async def role(process):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fail)

    with pytest.raises(errors.GuavapulleyError) as caught:
        _process.run(found, role)
    assert caught.value.code == "DISK_FAILED"
    failed = events(found)[-2]
    assert failed["message_type"] == "process:failed"
    assert failed["code"] == "DISK_FAILED"
