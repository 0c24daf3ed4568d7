"""Guards against nodes that end without logging the reason.

Also guards against changed settings that are not loaded without a signal.
"""

import json
import pathlib

import attrs
import pytest
import trio

from guavapulley import errors
from guavapulley import forwarding
from guavapulley import model
from guavapulley import nodes
from guavapulley import ports
from guavapulley.adapters import codec
from guavapulley.nodes import _process


def settings():
    return nodes.NodeSettings(
        name="node-1",
        role="core",
        region="pb",
        failure_domain="pb-1",
        regions={"pb-1": "pb"},
        peer_address=model.NodeAddress("127.0.0.1", 0),
        seeds=(),
        first_start=True,
        data_folder=pathlib.Path("/nonexistent"),
        max_lost_disks=1,
        stop_timeout_s=1.0,
        directory_ttl_s=1.0,
        forwarding_settings=forwarding.ForwardingSettings(),
    )


async def fail():
    raise errors.GuavapulleyError(ports.INTERNAL_ERROR, "the disk is full")


async def test_a_failed_task_ends_the_process_with_a_logged_code(capfd):
    # A traceback on standard error is no event, and does not show the code.
    with pytest.raises(SystemExit) as raised:
        async with _process.open_node(settings, codec.MessageCodec()) as node:
            node.nursery.start_soon(fail)
            await node.wait_for_stop_signal()
    assert raised.value.code == 1
    out = capfd.readouterr().out
    lines = [json.loads(line) for line in out.splitlines()]
    events = {
        line["message_type"]: line for line in lines if "message_type" in line
    }
    assert list(events) == [
        "process:started",
        "process:failed",
        "process:ended",
    ]
    assert events["process:failed"]["code"] == ports.INTERNAL_ERROR
    assert events["process:failed"]["reason"] == "the disk is full"


async def test_an_unexpected_error_keeps_its_traceback():
    with pytest.raises(BaseExceptionGroup, match="nursery"):
        async with _process.open_node(settings, codec.MessageCodec()):
            raise ValueError


async def test_changed_settings_are_loaded_without_a_signal(autojump_clock):
    # With outdated seeds a node could not find the replicas any more.
    loader_results = [settings()]
    events = []

    def load():
        if isinstance(loader_results[0], Exception):
            raise loader_results[0]
        return loader_results[0]

    class Events:
        def write(self, event, **fields):
            events.append(event)

    async with trio.open_nursery() as nursery:
        node = _process.Node(load, codec.MessageCodec(), Events(), nursery)
        nursery.start_soon(node.watch_settings)
        await trio.sleep(5)
        assert events == []
        seeds = (model.NodeAddress("127.0.0.2", 1),)
        loader_results[0] = ValueError("half written")
        await trio.sleep(3)
        assert events == ["settings:rejected"]
        loader_results[0] = attrs.evolve(settings(), seeds=seeds)
        await trio.sleep(5)
        assert node.settings.seeds == seeds
        assert events == ["settings:rejected", "settings:reloaded"]
        nursery.cancel_scope.cancel()
