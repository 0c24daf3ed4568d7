"""Servers, callers and an operator of the soak, by the platform's protocol."""

import contextlib
import hashlib
import itertools
import json
import random
import time

import attrs
import trio

from tests.platform import deployment
from tests.soak import history

SERVICES = ("stock", "orders")
ZONES = ("pb-1", "pb-2")
SLOTS, QUEUE = 4, 8
WORK_S = 0.03
HEARTBEAT_S = 0.5
COLD_S = 2.0
ROUTE_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 1.0
SIGNATURE = b"Response-Signature: s\r\n"


def digest(body):
    return hashlib.sha256(body).hexdigest()[:16]


async def read_head(stream, data):
    """Returns the first line, headers in lower case and what follows them."""
    while b"\r\n\r\n" not in data:
        chunk = await stream.receive_some(65_536)
        if not chunk:
            raise EOFError
        data += chunk
    head, _, rest = data.partition(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    pairs = (line.lower().split(": ", 1) for line in lines)
    return first, dict(pairs), rest


async def read_body(stream, headers, data):
    """Returns the body and what follows it."""
    length = int(headers.get("content-length", 0))
    while len(data) < length:
        chunk = await stream.receive_some(65_536)
        if not chunk:
            raise EOFError
        data += chunk
    return data[:length], data[length:]


@attrs.define(eq=False)
class Server:
    """One start of a server of the platform.

    Attributes:
        name: ID of the start.
        address: Where edges reach it, through the fault proxy.
        work_s: Time that its work takes.
        lost_part: Part of the answers that it loses after the work.
        spoiled_part: Part of the answers that break off.
        failing_part: Part of the requests that it fails.
        born_ms: Unix time of its start.
        cold_until_s: When it stops to be cold.
    """

    name: str
    service: str
    zone: str
    address: str
    seen: history.History
    rng: random.Random
    work_s: float = WORK_S
    lost_part: float = 0.0
    spoiled_part: float = 0.0
    failing_part: float = 0.0
    cold_until_s: float = 0.0
    born_ms: int = attrs.field(factory=lambda: time.time_ns() // 1_000_000)
    sequence: int = 0
    state: str = "ready"
    running: int = 0
    waiting: int = 0
    slots: trio.Semaphore = attrs.field(factory=lambda: trio.Semaphore(SLOTS))

    async def serve(self, stream):
        """Answers the requests of one connection."""
        data = b""
        with contextlib.suppress(
            EOFError, trio.BrokenResourceError, trio.ClosedResourceError
        ):
            async with stream:
                while True:
                    _, headers, data = await read_head(stream, data)
                    _, data = await read_body(stream, headers, data)
                    answer = await self._answer(headers)
                    broken = self.rng.random() < self.spoiled_part
                    if answer is None:
                        return
                    if broken:
                        await stream.send_all(answer[: len(answer) // 2])
                        return
                    await stream.send_all(answer)

    async def _answer(self, headers):
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            return self._refusal(421, request_id)
        if self.waiting >= QUEUE:
            return self._refusal(503, request_id)
        self.waiting += 1
        try:
            async with self.slots:
                self.waiting -= 1
                self.running += 1
                try:
                    return await self._run(request_id)
                finally:
                    self.running -= 1
        except trio.Cancelled:
            self.waiting = max(0, self.waiting - 1)
            raise

    def _refusal(self, status, request_id):
        self._note(request_id, ran=False, status=status, body=b"")
        return self._bytes(status, request_id, b"", b"Not-Executed: 1\r\n")

    def _note(self, request_id, *, ran, status, body):
        now_s = trio.current_time()
        self.seen.runs.append(
            history.Run(
                request_id,
                self.name,
                self.zone,
                now_s,
                ran,
                status,
                digest(body),
                now_s < self.cold_until_s,
            )
        )

    async def _run(self, request_id):
        body = self.rng.randbytes(self.rng.randrange(1, 5_000))
        status = 500 if self.rng.random() < self.failing_part else 200
        self._note(request_id, ran=True, status=status, body=body)
        await trio.sleep(self.work_s * self.rng.uniform(0.5, 2))
        if self.rng.random() < self.lost_part:
            return None
        return self._bytes(status, request_id, body, SIGNATURE)

    def _bytes(self, status, request_id, body, more):
        load = f"{self.running},{self.waiting},{SLOTS},100"
        head = (
            f"HTTP/1.1 {status} -\r\nRequest-Id: {request_id}\r\n"
            f"Server-Load: {load}\r\nContent-Length: {len(body)}\r\n"
        )
        return head.encode() + more + b"\r\n" + body

    def beat(self):
        """Returns the next heartbeat."""
        self.sequence += 1
        cold_s = max(0.0, self.cold_until_s - trio.current_time())
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": SLOTS,
            "state": self.state,
            "cold_remaining_s": cold_s,
            "sequence": self.sequence,
            "born": self.born_ms,
        }


async def order(cores, rng, path, body=None):
    """Sends an order to one core node after the other until it is clear.

    Returns:
        The status, or None if no node gave a clear answer.
    """
    for core in rng.sample(cores, len(cores)):
        with (
            contextlib.suppress(*deployment.CALL_ERRORS),
            trio.move_on_after(CALL_TIMEOUT_S),
        ):
            status, _, _ = await deployment.call(
                core.ip, deployment.CONTROL_PORT, "POST", path, body
            )
            if status < 500:
                return status
    return None


async def until_clear(cores, rng, path, body=None):
    """Sends an order until there is a clear answer; returns its status."""
    while True:
        status = await order(cores, rng, path, body)
        if status is not None:
            return status
        await trio.sleep(0.1)


def route(name, prefix, service, kind):
    return {
        "resource_kind": "routes",
        "metadata": {"name": name},
        "spec": {
            "hostname": "shop.example",
            "path_prefix": prefix,
            "type": kind,
            "timeout_s": ROUTE_TIMEOUT_S,
            "target_latency_s": 0.5,
            "service": service,
            "max_attempts": 2,
            "session_affinity": True,
        },
    }


def version_route(version):
    """Returns the route that only one version has."""
    return route(f"v{version}", f"/v{version}/", "stock", "safe")


def first_configuration():
    services = [
        {
            "resource_kind": "services",
            "metadata": {"name": name},
            "spec": {
                "health_path": "/health",
                "max_connections": 300,
                "cold_start_s": COLD_S,
                "cold_per_s": 4.0,
            },
        }
        for name in SERVICES
    ]
    return {
        "version": 1,
        "base_version": 0,
        "resources": [
            route("safe", "/safe/", "stock", "safe"),
            route("once", "/once/", "orders", "non_idempotent"),
            version_route(1),
            *services,
        ],
    }


def update(version, base):
    return {
        "version": version,
        "base_version": base,
        "upsert": {"resources": [version_route(version)]},
        "remove": {"routes": [f"v{base}"]},
    }


@attrs.define(eq=False)
class Caller:
    """Sends requests on kept connections, one after the other."""

    edges: list
    seen: history.History
    rng: random.Random
    ids: itertools.count
    pause_s: float

    async def run(self):
        """Sends requests until cancelled."""
        while True:
            edge = self.rng.choice(self.edges)
            with contextlib.suppress(OSError):
                stream = await trio.open_tcp_stream(
                    edge.ip, deployment.FRONTEND_PORT
                )
                async with stream:
                    data = b""
                    for _ in range(self.rng.randrange(1, 12)):
                        data = await self._ask(stream, edge, data)
                        if data is None:
                            break
                        await trio.sleep(self.rng.uniform(0, 2 * self.pause_s))
            await trio.sleep(self.rng.uniform(0, 2 * self.pause_s))

    async def _ask(self, stream, edge, data):
        """Sends one request; returns what follows its answer, or None."""
        once = self.rng.random() < 0.4
        name = f"r{next(self.ids)}"
        sent_s = trio.current_time()
        status, body, signed, rest = None, b"", False, None
        try:
            with trio.move_on_after(ROUTE_TIMEOUT_S + 1):
                await stream.send_all(self._request(name, once=once))
                first, headers, data = await read_head(stream, data)
                body, rest = await read_body(stream, headers, data)
                status = int(first.split()[1])
                signed = "response-signature" in headers
                if headers.get("connection") == "close":
                    rest = None
        except (EOFError, trio.BrokenResourceError, ValueError):
            status = None
        self.seen.answers.append(
            history.Answer(
                name,
                once,
                edge.name,
                sent_s,
                trio.current_time(),
                status,
                digest(body),
                signed,
            )
        )
        return rest

    def _request(self, name, *, once):
        body = b"x" * self.rng.randrange(0, 2_000) if once else b""
        method, path = ("POST", "/once/a") if once else ("GET", "/safe/a")
        return (
            f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
            f"Request-Id: {name}\r\nDeadline-Ms: 3000\r\n"
            f"Affinity-Key: {self.rng.randrange(30)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body


@attrs.define(eq=False)
class Operator:
    """Changes the configuration, sometimes twice on the same version."""

    cores: list
    seen: history.History
    rng: random.Random
    version: int = 1
    newest: int = 1

    async def change(self, *, race):
        """Makes one change, or two on top of the same version."""
        base = self.version
        async with trio.open_nursery() as nursery:
            for _ in range(1 + race):
                self.newest += 1
                nursery.start_soon(self._send, self.newest, base)

    async def _send(self, version, base):
        status = await until_clear(
            self.cores, self.rng, "/Config.Update", update(version, base)
        )
        if status == 200:
            self.seen.orders.append(
                history.Order("change", str(version), trio.current_time(), base)
            )
            self.version = max(self.version, version)

    async def evacuate(self, zone, for_s):
        """Empties a zone for some time."""
        for kind, verb in (("evacuate", "Begin"), ("return", "Finish")):
            path = f"/Evacuations.{verb}/{zone}"
            sent_s = trio.current_time()
            await until_clear(self.cores, self.rng, path)
            # A withdrawal may be in force before its acknowledgement.
            at_s = trio.current_time() if kind == "evacuate" else sent_s
            self.seen.orders.append(history.Order(kind, zone, at_s))
            if kind == "evacuate":
                await trio.sleep(for_s)

    async def read_back(self, core):
        """Returns the version that a core node reads; None if it cannot."""
        with contextlib.suppress(*deployment.CALL_ERRORS):
            status, _, body = await deployment.call(
                core.ip, deployment.CONTROL_PORT, "GET", "/Config.Read"
            )
            return json.loads(body)["version"] if status == 200 else None
        return None
