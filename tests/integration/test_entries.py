"""Guards against lost or repeated requests when a leader or an entry stops.

Real control and entry processes on loopback behind the fault proxy, in real
time; the upstreams are simulated in the process of the test.
"""

import collections
import functools
import json
import signal
import time

import pytest
import trio
import urllib3

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import clock
from guavapulley.programs import _simulated_upstream
from tests.integration import deployment

pytestmark = pytest.mark.processes

REGIONS = ("pb", "za", "tn")
SERVICES = """\
[service stock]
class = short
[service orders]
class = once
"""
# Target for the recovery from the loss of the leader, plus one claim.
NEW_LEADER_S = 6.0
# Allowance for two renewals and some rounds of gossip on a busy machine.
READY_TIMEOUT_S = 10.0


class Callers:
    """Sends requests to entries, each in a thread."""

    def __init__(self, system):
        self.system = system
        self.http_client = urllib3.PoolManager(
            maxsize=32, retries=False, timeout=8
        )

    async def call(self, entry, method, path, **headers):
        """Sends a request to an entry.

        Returns:
            The status and the body. The status is 0 without a complete answer
            and -1 if the connection was refused.
        """
        url = f"http://{self.system.nodes[entry].http}{path}"
        header_fields = {k.replace("_", "-"): v for k, v in headers.items()}
        send = functools.partial(
            self.http_client.request,
            method,
            url,
            headers=header_fields,
            body=b"1",
        )
        try:
            reply = await trio.to_thread.run_sync(send)
        except urllib3.exceptions.NewConnectionError:
            return -1, b"refused"
        except urllib3.exceptions.HTTPError as error:
            return 0, repr(error).encode()
        return reply.status, reply.data

    async def send_order(self, entry, key):
        return await self.call(
            entry,
            "POST",
            "/s/orders/x",
            Guavapulley_Idempotency_Key=key,
            Guavapulley_Key_Created=str(time.time()),
        )


async def start_system(system):
    """Starts three control replicas, two entries and two upstreams."""
    for number in range(2):
        await system.add(
            f"entry-{number}", "entry", REGIONS[number], 21 + number
        )
    await system.start_control(REGIONS)
    (system.folder / "services.ini").write_text(SERVICES)
    status, output = await system.operate("apply", "services.ini")
    assert status == 0, output
    async with trio.open_nursery() as nursery:
        for node in system.nodes_with_role("entry"):
            nursery.start_soon(system.start, node.name)
    upstreams = {}
    for service in ("stock", "orders"):
        record = model.UpstreamRecord(
            f"{service}-1",
            service,
            model.NodeAddress("127.0.0.1", 0),
            "pb",
            "pb-1",
            slots=6,
            max_connections=60,
            incarnation=clock.unix_time_ms(),
        )
        settings = _simulated_upstream.SimulatedUpstreamSettings(
            record,
            tuple(node.http for node in system.nodes_with_role("entry")),
            service_time_s=0.005,
            token=deployment.TOKENS["upstream.token"],
        )
        run = functools.partial(
            _simulated_upstream.run_simulated_upstream,
            settings,
            ports.NullEventLog(),
        )
        upstreams[service] = await system.nursery.start(run)
    await system.wait_until(
        lambda: entries_are_ready(system), READY_TIMEOUT_S, "entries are ready"
    )
    return upstreams


def entries_are_ready(system):
    statuses = [
        system.status(node) or {} for node in system.nodes_with_role("entry")
    ]
    return all(
        status.get("state") == "confirmed"
        and len(status["entries"]) == 2
        and len(status["upstreams"]) == 2
        for status in statuses
    )


async def test_orders_run_once_across_entries_and_a_lost_leader(system):
    upstreams = await start_system(system)
    callers = Callers(system)
    replies = [
        await callers.send_order(f"entry-{number}", "k1") for number in range(2)
    ]
    assert [status for status, _ in replies] == [200, 200], replies
    await system.kill(system.leader().name)
    started_s = trio.current_time()
    # A refused order can be sent again at once; one whose outcome is unknown
    # must not be.
    status, body = 0, b""
    number = 1
    while status != 200 and trio.current_time() < started_s + NEW_LEADER_S:
        number += 1
        status, body = await callers.send_order("entry-1", f"k{number}")
        if status not in (200, 0):
            assert json.loads(body)["not_run"], body
    assert status == 200, body
    status, body = await callers.call("entry-0", "GET", "/s/stock/x")
    assert status == 200, body
    executions = upstreams["orders"].executions
    assert max(executions.values()) == 1
    assert executions["k1"] == 1


async def test_a_stopped_entry_aborts_no_request_and_exits_with_zero(system):
    # A stopping entry serves for 10 s more, as callers may use a lookup that
    # long; the test takes 12 s.
    await start_system(system)
    callers = Callers(system)
    counts = collections.Counter()
    process = system.nodes["entry-0"].process

    async def read_until_refused():
        while process.returncode is None:
            status, body = await callers.call("entry-0", "GET", "/s/stock/x")
            counts[status] += 1
            assert status in (200, -1), body
            await trio.sleep(0.02)

    async with trio.open_nursery() as nursery:
        for _ in range(6):
            nursery.start_soon(read_until_refused)
        await trio.sleep(1)
        await system.kill("entry-0", signal.SIGTERM)
    assert process.returncode == 0
    assert counts[200] > 100
    assert counts[0] == 0
