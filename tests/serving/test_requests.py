"""Guards against requests that are served without a valid configuration."""

import pytest
import trio

from guavapulley import model
from guavapulley import serving


def make_request(service, body=b"x", **fields):
    return model.SteeredRequest("r1", service, "GET", "/", body=body, **fields)


async def start_entry(memory, nursery, faults=()):
    control = memory.MemoryControl(nursery)
    entry = memory.Entry("e1", control, memory.MemoryUpstreams(faults))
    await entry.start(nursery)
    return entry


async def test_unconfirmed_entry_refuses_requests(memory, autojump_clock):
    async with trio.open_nursery() as nursery:
        control = memory.MemoryControl(nursery)
        entry = memory.Entry("e1", control, memory.MemoryUpstreams())
        with pytest.raises(serving.ServingError) as raised:
            await entry.handle(make_request("stock"))
    assert raised.value.code == "CONFIGURATION_UNCONFIRMED"
    assert raised.value.not_run


async def test_detached_entry_serves_all_but_once_requests(
    memory, autojump_clock
):
    async with trio.open_nursery() as nursery:
        entry = await start_entry(memory, nursery)
        entry.watcher.confirmed_at_s = -100.0
        for service in ("stock", "sync"):
            assert (await entry.handle(make_request(service))).body == b"done x"
        with pytest.raises(serving.ServingError) as raised:
            await entry.handle(make_request("orders"))
        nursery.cancel_scope.cancel()
    assert raised.value.code == "ENTRY_DETACHED"
    assert raised.value.not_run


@pytest.mark.parametrize(
    ("service", "body", "code"),
    [
        ("none", b"", "SERVICE_UNKNOWN"),
        ("stock", b"x" * 2_000_000, "REQUEST_TOO_LARGE"),
    ],
)
async def test_requests_that_cannot_be_served_are_refused(
    memory, autojump_clock, service, body, code
):
    async with trio.open_nursery() as nursery:
        entry = await start_entry(memory, nursery)
        with pytest.raises(serving.ServingError) as raised:
            await entry.handle(make_request(service, body))
        nursery.cancel_scope.cancel()
    assert (raised.value.code, raised.value.not_run) == (code, True)
    assert raised.value.details["request_id"] == "r1"


@pytest.mark.parametrize(
    ("service", "faults", "not_run"),
    [
        ("stock", ["refused"] * 3, True),
        ("stock", ["refused", "broken", "refused"], False),
        ("stock", ["hang"], False),
        ("sync", ["cut"], False),
    ],
)
async def test_not_run_considers_every_attempt(
    memory, autojump_clock, service, faults, not_run
):
    async with trio.open_nursery() as nursery:
        entry = await start_entry(memory, nursery, faults)
        with pytest.raises(serving.ServingError) as raised:
            await entry.handle(make_request(service, deadline_s=0.5))
        nursery.cancel_scope.cancel()
    assert raised.value.not_run is not_run


async def test_truncated_stream_is_not_retried(memory, autojump_clock):
    async with trio.open_nursery() as nursery:
        entry = await start_entry(memory, nursery, ["cut"])
        reply = memory.Reply()
        with pytest.raises(serving.ServingError):
            await entry.requests.handle(make_request("sync"), reply)
        nursery.cancel_scope.cancel()
    assert entry.upstreams.sent == 1
    assert reply.body == b"d"
    assert entry.registry.dispatches == [False]


async def test_callers_cannot_set_automatic_labels(memory, autojump_clock):
    received_labels = []

    class Steerer:
        async def run(self, request, service, attempt):
            received_labels.append(request.labels)
            return await attempt(memory.upstream())

    async with trio.open_nursery() as nursery:
        entry = await start_entry(memory, nursery)
        entry.requests.steerer = Steerer()
        entry.source.configuration = model.Configuration(
            9,
            (
                *entry.source.configuration.objects,
                model.ClientBlock("192.0.2.0/24", "za"),
            ),
        )
        await trio.sleep(5)
        labels = serving.parse_labels("region=x, shop=12")
        for host in ("192.0.2.7", "198.51.100.1"):
            await entry.requests.handle(
                make_request("stock", labels=labels), memory.Reply(), host
            )
        nursery.cancel_scope.cancel()
    assert [label_set["region"] for label_set in received_labels] == [
        "za",
        "pb",
    ]
    assert received_labels[0]["shop"] == "12"


@pytest.mark.parametrize(
    "text",
    ["a", "=b", "a=" + "x" * 200, ",".join(f"k{n}=1" for n in range(40))],
)
def test_malformed_labels_are_refused(text):
    with pytest.raises(serving.ServingError) as raised:
        serving.parse_labels(text)
    assert raised.value.not_run
