"""Guards against parts of the entry role that do not work together.

Two entries run with real sockets on loopback.
"""

import contextlib
import functools
import json
import time

import pytest
import trio
import urllib3

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import clock
from guavapulley.adapters import codec
from guavapulley.adapters import http
from guavapulley.adapters import nng
from guavapulley.adapters import settings
from guavapulley.programs import _entry
from guavapulley.programs import _simulated_upstream
from tests.programs import stub_control

KEY = b"cluster-key-of-this-test"
SERVICES = (
    model.Service("stock", model.TrafficClass.SHORT),
    model.Service("orders", model.TrafficClass.ONCE),
    model.Service("sync", model.TrafficClass.BULK),
)


class System:
    """Two entries, a stub of a control replica and three upstreams."""

    def __init__(self, nursery, free_port, folder):
        self.nursery = nursery
        self.free_port = free_port
        self.folder = folder
        self.stopping = trio.Event()
        self.servers = []
        self.upstreams = {}
        self.control = stub_control.StubControl(*SERVICES)
        self.http = urllib3.PoolManager(retries=False, timeout=5)

    def address(self):
        return model.NodeAddress("127.0.0.1", self.free_port())

    async def start(self):
        control = self.address()
        await self.nursery.start(
            nng.serve_peers,
            control,
            self.control,
            codec.EnvelopeCodec(codec.MessageCodec(), KEY),
            "control",
            clock.LamportClock(),
            ports.NullEventLog(),
        )
        peers = [self.address(), self.address()]
        for number, peer in enumerate(peers):
            await self._start_entry(f"e{number}", peer, control, tuple(peers))
        for service in SERVICES:
            await self._start_upstream(service.name)

    async def _start_entry(self, name, peer, control, seeds):
        address = self.address()
        process_settings = settings.ProcessSettings(
            role=settings.Role.ENTRY,
            node=name,
            region="pb",
            failure_domain="pb-1",
            http=address,
            peer=peer,
            announced_http=address,
            announced_peer=peer,
            control_peers=(control,),
            entry_seeds=seeds,
            data_folder=None,
            log_file=self.folder / f"{name}.log",
            statsd=None,
            cluster_key=KEY,
            operator_token="",
        )
        stopping = self.stopping if name == "e0" else trio.Event()
        options = _entry.EntryOptions(
            http.HttpLimits(workers=16), 0.2, stopping.wait
        )
        run = functools.partial(_entry.run_entry, process_settings, options)
        self.servers.append(await self.nursery.start(run))

    async def _start_upstream(self, service):
        record = model.UpstreamRecord(
            f"{service}-1",
            service,
            model.NodeAddress("127.0.0.1", 0),
            "pb",
            "pb-1",
            slots=4,
            max_connections=40,
            incarnation=clock.unix_time_ms(),
        )
        upstream_settings = _simulated_upstream.SimulatedUpstreamSettings(
            record, (self.servers[0].address,), service_time_s=0.002
        )
        run = functools.partial(
            _simulated_upstream.run_simulated_upstream,
            upstream_settings,
            ports.NullEventLog(),
        )
        self.upstreams[service] = await self.nursery.start(run)

    async def call(self, number, method, path, **options):
        """Returns the status and the decoded body of an entry's reply."""
        url = f"http://{self.servers[number].address}{path}"
        call = functools.partial(self.http.request, method, url, **options)
        reply = await trio.to_thread.run_sync(call)
        json_type = "json" in reply.headers.get("Content-Type", "")
        return reply.status, json.loads(reply.data) if json_type else reply.data

    async def is_ready(self):
        """Returns whether both entries list both entries and all upstreams."""
        replies = [await self.call(n, "GET", "/v1/status") for n in range(2)]
        return all(
            len(status["entries"]) == 2 and len(status["upstreams"]) == 3
            for _, status in replies
        )


async def wait_until(condition):
    with trio.fail_after(8):
        while True:
            if await condition():
                return
            await trio.sleep(0.05)


@contextlib.asynccontextmanager
async def running(free_port, folder):
    async with trio.open_nursery() as nursery:
        system = System(nursery, free_port, folder)
        await system.start()
        await wait_until(system.is_ready)
        yield system
        system.http.clear()
        nursery.cancel_scope.cancel()


@pytest.mark.processes
async def test_both_entries_serve_requests_of_every_class(free_port, tmp_path):
    async with running(free_port, tmp_path) as system:
        for number in range(2):
            for service in ("stock", "sync"):
                status, body = await system.call(
                    number, "GET", f"/s/{service}/x"
                )
                assert (status, body) == (200, b"x" * 100)
        headers = {
            "Guavapulley-Idempotency-Key": "k1",
            "Guavapulley-Key-Created": str(time.time()),
        }
        replies = [
            await system.call(
                number, "POST", "/s/orders/x", body=b"1", headers=headers
            )
            for number in range(2)
        ]
        assert [status for status, _ in replies] == [200, 200]
        assert system.upstreams["orders"].executions == {"k1": 1}
        _, outcome = await system.call(1, "GET", "/v1/outcomes/orders/k1")
        assert outcome["outcome"] == "completed"
        _, lookup = await system.call(1, "GET", "/v1/lookup?service=stock")
        assert {e["name"] for e in lookup["entries"]} == {"e0", "e1"}


@pytest.mark.processes
async def test_stopping_entry_leaves_lookups_and_finishes(free_port, tmp_path):
    async with running(free_port, tmp_path) as system:
        system.stopping.set()

        async def has_left_lookups():
            _, lookup = await system.call(1, "GET", "/v1/lookup")
            return {e["name"] for e in lookup["entries"]} == {"e1"}

        async def has_stopped():
            return not system.servers[0].cheroot.ready

        await wait_until(has_left_lookups)
        await wait_until(has_stopped)
        status, _ = await system.call(1, "GET", "/s/stock/x")
        assert status == 200
