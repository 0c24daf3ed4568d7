"""Guards against processes that end without logging the reason."""

import json
import os
import signal

import pytest
import trio
import trio.testing

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
def process_settings(tmp_path):
    (tmp_path / "key").write_text("0123456789abcdef")
    (tmp_path / "key").chmod(0o600)
    return settings.parse_process_settings(
        TEXT, settings.Role.ENTRY, "s.ini", tmp_path
    )


def read_events(process_settings):
    lines = process_settings.log_file.read_text().splitlines()
    return [json.loads(line) for line in lines][1:]


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGINT])
async def test_signal_asks_the_process_to_stop(signal_number):
    async with trio.open_nursery() as nursery:
        signals = []

        async def wait_for_signal(*, task_status):
            task_status.started()
            signals.append(await _process.wait_for_stop_signal())

        await nursery.start(wait_for_signal)
        await trio.testing.wait_all_tasks_blocked()
        os.kill(os.getpid(), signal_number)
    assert signals == [signal_number]


FAILURES = [
    (errors.GuavapulleyError("DISK_FAILED", "no space left"), "DISK_FAILED"),
    (ValueError("unexpected"), None),
]


@pytest.mark.parametrize("failure, code", FAILURES)
def test_failure_is_logged_before_the_process_ends(
    process_settings, failure, code
):
    with (
        pytest.raises(type(failure)),
        _process.process_context(process_settings),
    ):
        raise failure
    started_event, failed_event, ended_event = read_events(process_settings)
    assert started_event["message_type"] == "process:started"
    assert failed_event["message_type"] == "process:failed"
    assert failed_event.get("code") == code
    assert ended_event["message_type"] == "process:ended"
    assert "0123456789abcdef" not in process_settings.log_file.read_text()
