"""Guards against an entry that runs out of memory by endless answers."""

import contextlib
import functools
import itertools
import pathlib

import pytest
import trio

from tests.platform import deployment
from tests.platform import test_processes

pytestmark = pytest.mark.processes
# Numbers that the other tests with real processes do not use.
NUMBERS = itertools.count(60)
UPSTREAMS = 200
RENEWAL_INTERVAL_S = 1.5
HALF_OF_MEMORY_LIMIT_KIB = 100_000_000 / 1024
PART = b"x" * 65_536
# All upstreams together fill a link of 1,000 Mbit/s, the largest of an entry.
LINK_BYTES_PER_S = 125_000_000
PART_INTERVAL_S = UPSTREAMS * len(PART) / LINK_BYTES_PER_S


# What follows the request ID in an answer whose body or head never ends.
ENDLESS_STARTS = {"body": "\r\n\r\n", "head": "\r\nX: "}


async def send_endless_answer(start, stream):
    """Answers a request with bytes that never end."""
    with contextlib.suppress(trio.BrokenResourceError):
        headers = await deployment.receive_headers(stream)
        if headers is None:
            return
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {headers['request-id']}{start}"
        await stream.send_all(head.encode())
        while True:
            await stream.send_all(PART)
            await trio.sleep(PART_INTERVAL_S)


def peak_memory_kib(node):
    """Returns the largest resident memory that a node has had."""
    status = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
    (line,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1])


def configuration():
    other = {
        **test_processes.ROUTE,
        "metadata": {"name": "other"},
        "spec": {
            **test_processes.ROUTE["spec"],
            "path_prefix": "/endless/",
            "service": "endless",
        },
    }
    resources = [
        test_processes.ROUTE,
        other,
        test_processes.SERVICE,
        {**test_processes.SERVICE, "metadata": {"name": "endless"}},
    ]
    return {"version": 1, "base_version": 0, "resources": resources}


async def announce(deployed, name, service, listener, sequence=1):
    host, port = listener.socket.getsockname()
    fields = test_processes.heartbeat(f"{host}:{port}", sequence)
    return await deployed.send_command(
        f"/Instances.Heartbeat/{name}", {**fields, "service": service}
    )


async def renew(deployed, name, service, listener):
    """Announces an upstream again and again, so that it does not expire."""
    for sequence in itertools.count(1):
        await announce(deployed, name, service, listener, sequence)
        await trio.sleep(RENEWAL_INTERVAL_S)


@pytest.mark.parametrize("part", ENDLESS_STARTS)
async def test_memory_is_bounded_and_other_requests_are_served(
    tmp_path, nursery, part
):
    deployed = deployment.Deployment(tmp_path, next(NUMBERS))
    server = test_processes.Server("u1")
    send_endless = functools.partial(send_endless_answer, ENDLESS_STARTS[part])
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, server.serve, [listener])
    try:
        for node in deployed.nodes:
            node.start()
        sent = await deployed.send_command("/Config.Replace", configuration())
        assert sent == 200
        nursery.start_soon(renew, deployed, "u1", "stock", listener)
        for number in range(UPSTREAMS):
            endless = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, send_endless, endless)
            name = f"endless-{number}"
            sent = await announce(deployed, name, "endless", endless[0])
            assert sent == 200
        ids = itertools.count()

        async def request_other():
            status, _, _ = await deployed.send_request("/a/x", f"s{next(ids)}")
            return status

        async def served():
            return await request_other() == 200

        await deployed.wait_until(served)
        statuses, others = [], []

        async def request_endless(number):
            with contextlib.suppress(*deployment.CALL_ERRORS):
                status, _, _ = await deployed.send_request(
                    "/endless/x", f"e{number}"
                )
                statuses.append(status)

        async def request_others():
            while len(statuses) < UPSTREAMS:
                others.append(await request_other())

        async with trio.open_nursery() as requests:
            requests.start_soon(request_others)
            for number in range(UPSTREAMS):
                requests.start_soon(request_endless, number)
        assert set(statuses) <= {502, 503, 504}
        assert len(others) > 5 and set(others) == {200}
        assert peak_memory_kib(deployed.edge) < HALF_OF_MEMORY_LIMIT_KIB
        assert deployed.edge.process.poll() is None
    finally:
        deployed.stop()
    nursery.cancel_scope.cancel()
