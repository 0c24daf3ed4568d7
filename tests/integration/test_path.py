"""Guards against requests that are steered wrongly or aborted.

The tests go from the announcement and the lookup to a request, a change and a
drain. Real control and entry processes on loopback, in real time.
"""

import collections
import json
import time

import pytest
import trio

from guavapulley import model

pytestmark = pytest.mark.processes

REGIONS = ("pb", "za", "tn")
STEERING = """\
[service line-status]
class = short
deadline_ms = 5000

[service batch-release]
class = once
deadline_ms = 10000

[service inspection-archive]
class = bulk
deadline_ms = 30000

[link pb za]
cap_mbit_per_s = 280

[link pb tn]
cap_mbit_per_s = 280

[link tn za]
cap_mbit_per_s = 280
"""
SHIFT = """\
[intent shift]
requests = service = line-status
upstreams = region = za
share = 100
"""
IN_FORCE_S = 2.0
DRAIN_S = 3.0


def upstream_record(service, region, number, slots):
    name = f"{service}-{region}-{number}"
    return model.UpstreamRecord(
        name,
        service,
        model.NodeAddress("127.0.0.1", 0),
        region,
        f"{region}-1",
        slots,
        330,
        {"rack": str(number)},
        incarnation=1,
    )


async def start_system(system):
    await system.start_control(REGIONS)
    await system.start_entries(REGIONS)
    for region in REGIONS:
        await system.start_upstream(
            upstream_record("line-status", region, 1, 6)
        )
        await system.start_upstream(
            upstream_record("batch-release", region, 1, 3)
        )
        await system.start_upstream(
            upstream_record("inspection-archive", region, 1, 6), 0.2
        )
    (system.folder / "steering.ini").write_text(STEERING)
    status, output = await system.operate("apply", "steering.ini", "--wait")
    assert status == 0, output
    for node in system.nodes_with_role("entry"):
        await system.wait_until(
            lambda node=node: len(system.status(node)["upstreams"]) == 9,
            10,
            "all upstreams are observed",
        )


def key_headers(key):
    return {
        "Guavapulley-Idempotency-Key": key,
        "Guavapulley-Key-Created": str(int(time.time())),
    }


async def test_requests_are_served_and_steered_as_the_operator_configures(
    system,
):
    await start_system(system)
    lookup = await system.request(
        "entry-1", "GET", "/v1/lookup?service=line-status&region=za"
    )
    answer = json.loads(lookup.data)
    assert answer["entries"][0]["name"] == "entry-1"
    assert answer["lifetime_s"] > 0
    for number in range(3):
        read = await system.request(
            f"entry-{number}", "GET", "/s/line-status/baths"
        )
        assert (read.status, read.data) == (200, b"x" * 100)
    headers = key_headers("release-1")
    for number in (0, 1, 0):
        release = await system.request(
            f"entry-{number}",
            "POST",
            "/s/batch-release/r",
            headers=headers,
            body=b"batch 1",
        )
        assert (release.status, len(release.data)) == (200, 100)
    assert executions(system, "release-1") == 1
    await check_requests_move(system)


def executions(system, key):
    return sum(up.executions[key] for up in system.upstreams.values())


async def check_requests_move(system):
    """Steers one service to one region and checks which upstreams serve it."""
    (system.folder / "shift.ini").write_text(SHIFT)
    status, output = await system.operate("apply", "shift.ini")
    assert status == 0, output
    await trio.sleep(IN_FORCE_S)
    before = served(system, "line-status")
    for _ in range(20):
        read = await system.request("entry-0", "GET", "/s/line-status/baths")
        assert read.status == 200, read.data
    served_counts = served(system, "line-status") - before
    assert set(served_counts) == {"line-status-za-1"}, served_counts


def served(system, service):
    return collections.Counter(
        {
            name: up.served
            for name, up in system.upstreams.items()
            if name.startswith(service)
        }
    )


async def test_a_leaving_upstream_gets_no_new_requests_after_3_s(system):
    await start_system(system)
    await system.start_upstream(upstream_record("line-status", "pb", 2, 6))
    await trio.sleep(3)
    system.stop_events["line-status-pb-1"].set()
    await trio.sleep(DRAIN_S)
    before = system.upstreams["line-status-pb-1"].served
    for number in range(60):
        read = await system.request(
            f"entry-{number % 3}", "GET", "/s/line-status/baths"
        )
        assert read.status == 200, read.data
    assert system.upstreams["line-status-pb-1"].served == before


async def test_a_stopping_entry_aborts_no_request(system):
    await start_system(system)
    statuses = collections.Counter()

    async def read_until(stop, path):
        while not stop.is_set():
            try:
                answer = await system.request("entry-0", "GET", path)
                statuses[answer.status] += 1
            except Exception as error:
                if not stop.is_set() and "refused" not in str(error):
                    statuses[repr(error)] += 1
                return

    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        for path in ("/s/line-status/a", "/s/inspection-archive/b") * 3:
            nursery.start_soon(read_until, stop, path)
        await trio.sleep(1)
        await system.kill("entry-0", 15)
        stop.set()
    assert system.nodes["entry-0"].process.returncode == 0
    assert set(statuses) == {200}, statuses
    lookup = await system.request(
        "entry-1", "GET", "/v1/lookup?service=line-status&region=pb"
    )
    names = [entry["name"] for entry in json.loads(lookup.data)["entries"]]
    assert "entry-0" not in names
