"""Guards against lost changes and requests when nodes are killed or stopped.

Nodes run as processes; a server in this process stands in for an upstream.
"""

import itertools
import json
import pathlib
import signal

import pytest
import trio

from tests.platform import deployment

pytestmark = pytest.mark.processes
NUMBERS = itertools.count()

ROUTE = {
    "resource_kind": "routes",
    "metadata": {"name": "r"},
    "spec": {
        "hostname": "shop.example",
        "path_prefix": "/a/",
        "type": "non_idempotent",
        "timeout_s": 2.5,
        "target_latency_s": 0.5,
        "service": "stock",
    },
}
SERVICE = {
    "resource_kind": "services",
    "metadata": {"name": "stock"},
    "spec": {"health_path": "/health"},
}


class Server:
    """Stands in for one of the platform's servers."""

    def __init__(self, name):
        self.name, self.served_ids, self.work_s = name, [], 0.01
        self.padding = b""

    async def serve(self, stream):
        headers = await deployment.receive_headers(stream)
        if headers is None:
            return
        await trio.sleep(self.work_s)
        self.served_ids.append(headers["request-id"])
        body = f"{self.name}:{headers['expect-instance']}"
        await stream.send_all(
            (
                "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
                f"Request-Id: {headers['request-id']}\r\n"
                f"Content-Length: {len(body) + len(self.padding)}\r\n"
                f"Connection: close\r\n\r\n{body}"
            ).encode()
            + self.padding
        )
        await stream.aclose()


def heartbeat(address, sequence, state="ready"):
    return {
        "service": "stock",
        "address": address,
        "zone": "pb-1",
        "version": "v1",
        "capacity": 3,
        "state": state,
        "cold_remaining_s": 0,
        "sequence": sequence,
        "born": 1_700_000_000_000,
    }


def configuration(version, base, prefix="/a/"):
    route = {**ROUTE, "spec": {**ROUTE["spec"], "path_prefix": prefix}}
    return {
        "version": version,
        "base_version": base,
        "resources": [route, SERVICE],
    }


@pytest.fixture
async def running(tmp_path, nursery):
    """A running deployment with one server and its first configuration."""
    deployed = deployment.Deployment(tmp_path, next(NUMBERS))
    server = Server("u1")
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, server.serve, listeners)
    address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
    try:
        for node in (*deployed.cores, deployed.edge):
            node.start()
        first = configuration(1, 0)
        assert await deployed.send_command("/Config.Replace", first) == 200
        announce = heartbeat(address, 1)
        assert (
            await deployed.send_command("/Instances.Heartbeat/u1", announce)
            == 200
        )
        numbers = itertools.count()

        async def served():
            status, _, body = await deployed.send_request(
                "/a/x", f"s{next(numbers)}"
            )
            return status == 200 and body == b"u1:u1"

        await deployed.wait_until(served)
        yield deployed, server, address
    finally:
        deployed.stop()


async def read_version(deployed, core):
    status, _, body = await deployment.call(
        core.ip, deployment.CONTROL_PORT, "GET", "/Config.Read"
    )
    return json.loads(body)["version"] if status == 200 else None


async def test_a_change_survives_the_loss_of_the_replica_that_accepted_it(
    running,
):
    deployed, _, _ = running
    first = deployed.cores[0]
    second = configuration(2, 1, "/b/")
    assert await deployed.send_command("/Config.Replace", second) == 200
    deployment.kill(first)
    # A resend after a lost acknowledgement goes to another replica.
    assert await deployed.send_command("/Config.Replace", second) == 200
    conflicting = configuration(3, 1, "/c/")
    assert await deployed.send_command("/Config.Replace", conflicting) == 412
    numbers = itertools.count()

    async def in_force():
        status, _, _ = await deployed.send_request("/b/x", f"b{next(numbers)}")
        old_status, _, _ = await deployed.send_request(
            "/a/x", f"a{next(numbers)}"
        )
        return (status, old_status) == (200, 404)

    await deployed.wait_until(in_force, 10)
    first.start()

    async def caught_up():
        return await read_version(deployed, first) == 2

    await deployed.wait_until(caught_up)


async def test_a_drained_server_gets_no_further_requests(running):
    deployed, server, address = running
    leaving = heartbeat(address, 2, "draining")
    assert (
        await deployed.send_command("/Instances.Heartbeat/u1", leaving) == 200
    )
    await trio.sleep(2.5)  # the time that the platform allows for a drain
    served_before = len(server.served_ids)
    status, headers, _ = await deployed.send_request("/a/x", "late")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert len(server.served_ids) == served_before


async def test_a_stopping_edge_completes_its_requests(running):
    deployed, server, _ = running
    server.work_s = 1.5
    answers = []

    async def ask():
        answers.append(await deployed.send_request("/a/x", "long"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.3)
        deployed.edge.send_signal(signal.SIGTERM)
        await trio.sleep(0.2)
        ready, _, _ = await deployment.call(
            deployed.edge.ip, deployment.READINESS_PORT, "GET", "/readiness"
        )
        assert ready == 503
    assert answers[0][0] == 200
    assert server.served_ids.count("long") == 1
    with trio.fail_after(4):
        code = await trio.to_thread.run_sync(deployed.edge.process.wait)
    assert code == 0


async def test_a_stopping_edge_cuts_no_late_request(running):
    """Requests that came after 3 s of a long grace were cut at its end."""
    deployed, server, _ = running
    deployed.edge.settings.write_text(
        deployed.edge.settings.read_text().replace("grace_s = 4", "grace_s = 9")
    )
    deployed.edge.send_signal(signal.SIGHUP)
    change = configuration(2, 1)
    change["resources"][0]["spec"]["timeout_s"] = 8.0
    assert await deployed.send_command("/Config.Replace", change) == 200
    await trio.sleep(2.5)
    deployed.edge.send_signal(signal.SIGTERM)
    await trio.sleep(3.2)
    server.work_s = 6.0
    with trio.fail_after(1):
        status, headers, _ = await deployed.send_request(
            "/a/x", "long", deadline_ms=30_000
        )
    assert status == 503
    assert float(headers["retry-after"]) > 0
    server.work_s = 1.0
    status, _, _ = await deployed.send_request("/a/x", "short")
    assert status == 200
    assert server.served_ids[-1] == "short"
    assert "long" not in server.served_ids


async def test_a_stopping_edge_sends_whole_answers(running):
    """The edge ended once its handlers had, while answers were being sent."""
    deployed, server, _ = running
    server.padding = bytes(16_000_000)
    deployed.edge.send_signal(signal.SIGTERM)
    await trio.sleep(1.5)
    address = (deployed.edge.ip, deployment.FRONTEND_PORT)
    socket = trio.socket.socket()
    socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 65_536)
    with socket, trio.fail_after(3):
        await socket.connect(address)
        await socket.send(
            b"GET /a/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"Request-Id: large\r\nDeadline-Ms: 2000\r\n\r\n"
        )
        # The grace is 4 s, and an idle edge ends after half of it.
        await trio.sleep(1.0)
        received = 0
        while data := await socket.recv(1_000_000):
            received += len(data)
    assert received > len(server.padding)


async def test_invalid_input_ends_no_process(running):
    deployed, _, _ = running
    invalid = {**heartbeat("127.0.0.1:1", 1), "capacity": "many"}
    assert (
        await deployed.send_command("/Instances.Heartbeat/u9", invalid) == 400
    )
    truncated = configuration(2, 1)["resources"][:1]
    broken = {"version": 2, "base_version": 1, "resources": truncated}
    assert await deployed.send_command("/Config.Replace", broken) == 400
    assert await deployed.send_command("/Evacuations.Begin/nowhere") == 404
    for node in (*deployed.cores, deployed.edge):
        assert node.process.poll() is None


def signal_disposition(signal_number, status_path):
    """Returns the name of the signal mask in /proc that has a signal.

    The masks are SigIgn (ignored) and SigCgt (caught). The name is empty if the
    signal has its default action.
    """
    masks = dict(
        line.split(":") for line in status_path.read_text().splitlines()
    )
    for name in ("SigIgn", "SigCgt"):
        if int(masks[name], 16) >> (signal_number - 1) & 1:
            return name
    return ""


async def test_a_signal_to_reload_does_not_end_a_starting_node(running):
    deployed, _, _ = running
    core = deployed.cores[1]
    deployment.kill(core)
    core.start()
    status = pathlib.Path(f"/proc/{core.process.pid}/status")
    disposition = ""
    with trio.fail_after(deployment.START_TIMEOUT_S):
        while not disposition:
            disposition = signal_disposition(signal.SIGHUP, status)
            await trio.sleep(0.002)
    # The signal is ignored from the start, not only handled after the imports.
    assert disposition == "SigIgn"
    for _ in range(40):
        core.send_signal(signal.SIGHUP)
        await trio.sleep(0.02)
    assert core.process.poll() is None

    async def reads():
        return await read_version(deployed, core)

    await deployed.wait_until(reads)


async def test_metrics_are_served(running):
    deployed, _, _ = running
    _, _, body = await deployment.call(
        deployed.edge.ip, deployment.METRICS_PORT, "GET", "/metrics"
    )
    assert b'guavapulley_requests_total{kind="200"}' in body
    outcome = b'{reason="upstream",route="r",service="stock",status="200"}'
    assert b"guavapulley_request_outcomes_total" + outcome in body
    for name in (b"upstream_slots", b"repeats_left", b"fleet_age_seconds"):
        assert b"guavapulley_" + name in body
    assert b"guavapulley_added_seconds_bucket" in body
    assert b"guavapulley_peer_bytes_total" in body
    _, _, core_body = await deployment.call(
        deployed.cores[0].ip, deployment.METRICS_PORT, "GET", "/metrics"
    )
    assert b'guavapulley_disk_seconds_bucket{kind="append"' in core_body
    assert b"guavapulley_log_index" in core_body


async def test_odd_announcements_are_rejected_and_end_no_process(running):
    deployed, server, address = running
    odd = [
        {**heartbeat(address, 1), "sequence": 10**400},
        {**heartbeat(address, 1), "capacity": 2**70},
        {**heartbeat(address, 1), "born": 2**64},
        {**heartbeat(address, 1), "cold_remaining_s": 1e308},
        {**heartbeat(address, 1), "service": "\ud800"},
        {**heartbeat(address, 1), "service": "s" * 200_000},
        heartbeat("10.0.0.1:65536", 1),
        heartbeat("localhost:80", 1),
        json.loads(f'{{"version": {nested_list(400)}}}'),
    ]
    for core in deployed.cores:
        for fields in odd:
            status, _, _ = await deployment.call(
                core.ip,
                deployment.CONTROL_PORT,
                "POST",
                "/Instances.Heartbeat/odd",
                fields,
            )
            assert status == 400
    assert all(node.process.poll() is None for node in deployed.nodes)
    status, _, body = await deployed.send_request("/a/x", "after")
    assert (status, body) == (200, b"u1:u1")


def nested_list(depth):
    return "[" * depth + "]" * depth
