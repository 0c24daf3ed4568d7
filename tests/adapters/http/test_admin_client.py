"""Guards against wrong results when single replicas fail.

An isolated replica answers with outdated state, and the answer to a change may
be lost.
"""

import contextlib

import pytest
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import http
from guavapulley.adapters import memory

TOKEN = "operator-token-0123456789"
CHANGE = model.Change("id-1", 0, "jana", (model.Drain("a", "rack = 1"),))


@pytest.fixture
async def connect(nursery):
    """Returns a function that starts replicas and returns their client."""

    async def start(*services, timeout_s=5.0):
        addresses = []
        for service in services:
            server = await nursery.start(
                http.serve_http,
                model.NodeAddress("127.0.0.1", 0),
                http.AdminFrontend(service, TOKEN, ports.NullEventLog()),
                ports.NullEventLog(),
            )
            addresses.append(server.address)
        return http.AdminClient(
            addresses, TOKEN, timeout_s, lambda message: None
        )

    return start


def isolated_replica():
    return memory.MemoryAdmin(
        confirmed=False,
        errors_to_raise=[
            ports.AdminError(
                ports.CHANGE_NOT_ACCEPTED, "no quorum", not_run=True
            )
        ]
        * 10,
    )


async def test_confirmed_answer_is_preferred(connect):
    healthy = memory.MemoryAdmin(model.Configuration(9))
    client = await connect(isolated_replica(), isolated_replica(), healthy)
    view = await client.configuration()
    assert (view.confirmed, view.configuration.revision) == (True, 9)
    assert (await client.revision_status(None)).current == 9


async def test_unconfirmed_answer_is_returned_without_a_confirmed_one(connect):
    client = await connect(isolated_replica(), isolated_replica())
    assert not (await client.configuration()).confirmed


async def test_refusing_replica_is_skipped(connect):
    healthy = memory.MemoryAdmin()
    client = await connect(isolated_replica(), healthy)
    assert (
        await client.propose_change(CHANGE)
    ).kind is model.VerdictKind.ACCEPTED
    assert len(healthy.accepted_changes) == 1


UNKNOWN_OUTCOME = ports.AdminError(
    ports.CHANGE_UNKNOWN, "appended", not_run=False
)
REFUSED = ports.AdminError(ports.CHANGE_NOT_ACCEPTED, "none", not_run=True)
REFUSAL_SEQUENCES = [
    ([REFUSED] * 20, True),
    ([REFUSED] * 3 + [UNKNOWN_OUTCOME] + [REFUSED] * 20, False),
    ([UNKNOWN_OUTCOME] * 20, False),
]


@pytest.mark.parametrize("refusals, not_run", REFUSAL_SEQUENCES)
async def test_one_unknown_attempt_makes_the_outcome_unknown(
    connect, refusals, not_run
):
    client = await connect(
        memory.MemoryAdmin(errors_to_raise=list(refusals)), timeout_s=2.2
    )
    with pytest.raises(http.AdminCallError) as raised:
        await client.propose_change(CHANGE)
    assert raised.value.not_run is not_run


async def test_malformed_answer_makes_the_outcome_unknown(nursery):
    async def send_malformed_answer(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.receive_some()
            await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n{")
            await stream.aclose()

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listener.socket.getsockname()[1]
    nursery.start_soon(trio.serve_listeners, send_malformed_answer, [listener])
    client = http.AdminClient(
        [model.NodeAddress("127.0.0.1", port)], TOKEN, 0.6, lambda message: None
    )
    with pytest.raises(http.AdminCallError) as raised:
        await client.propose_change(CHANGE)
    assert raised.value.code == ports.CHANGE_UNKNOWN
    with pytest.raises(http.AdminCallError) as raised:
        await client.configuration()
    assert raised.value.not_run
