"""Simulated servers, callers and operator that use the platform's protocol."""

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
SLOTS, QUEUE_LIMIT = 4, 8
SERVICE_TIME_S = 0.03
HEARTBEAT_S = 0.5
COLD_S = 2.0
ROUTE_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 1.0
SIGNATURE = b"Response-Signature: s\r\n"
# Statuses of requests that a server ran and failed.
FAILURE_STATUSES = (408, 429, 500, 503)


def digest(body):
    return hashlib.sha256(body).hexdigest()[:16]


async def read_head(stream, data):
    """Returns first line, headers in lower case and the bytes after them."""
    while b"\r\n\r\n" not in data:
        chunk = await stream.receive_some(65_536)
        if not chunk:
            raise EOFError
        data += chunk
    head, _, rest = data.partition(b"\r\n\r\n")
    first_line, *lines = head.decode().split("\r\n")
    pairs = (line.lower().split(": ", 1) for line in lines)
    return first_line, dict(pairs), rest


async def read_body(stream, headers, data):
    """Returns the body and the bytes after it."""
    length = int(headers.get("content-length", 0))
    while len(data) < length:
        chunk = await stream.receive_some(65_536)
        if not chunk:
            raise EOFError
        data += chunk
    return data[:length], data[length:]


@attrs.define(eq=False)
class Server:
    """One incarnation of a server of the platform.

    Attributes:
        name: ID of the incarnation.
        service: Name of its service.
        zone: Its zone.
        address: Address of the fault proxy, to which edges connect.
        observed: Records the arrivals of requests.
        rng: Random numbers of its behaviour.
        service_time_s: Typical time that it takes to run a request.
        lost_fraction: Fraction of the requests that it runs and never answers.
        truncated_fraction: Fraction of the answers that it truncates.
        failing_fraction: Fraction of the requests that it fails.
        refusal_s: Seconds for which it turns away requests in each answer; 0 if
            it serves them.
        cold_until_s: Time at which it stops being cold, on trio's clock.
        started_unix_ms: Unix time of its start, in milliseconds.
        sequence: Number of its last heartbeat.
        state: State that it announces.
        running: Number of requests that it runs.
        waiting: Number of requests that wait for a slot.
        slots: Limits the number of requests that it runs at a time.
    """

    name: str
    service: str
    zone: str
    address: str
    observed: history.History
    rng: random.Random
    service_time_s: float = SERVICE_TIME_S
    lost_fraction: float = 0.0
    truncated_fraction: float = 0.0
    failing_fraction: float = 0.0
    refusal_s: float = 0.0
    cold_until_s: float = 0.0
    started_unix_ms: int = attrs.field(
        factory=lambda: time.time_ns() // 1_000_000
    )
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
                    is_truncated = self.rng.random() < self.truncated_fraction
                    if answer is None:
                        return
                    if is_truncated:
                        await stream.send_all(answer[: len(answer) // 2])
                        return
                    await stream.send_all(answer)

    async def _answer(self, headers):
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            return self._refuse(421, request_id)
        if self.refusal_s or self.waiting >= QUEUE_LIMIT:
            return self._refuse(503, request_id, self.refusal_s)
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

    def _refuse(self, status, request_id, refusal_s=0.0):
        self._record_arrival(
            request_id, ran=False, status=status, body=b"", refusal_s=refusal_s
        )
        header_lines = "Not-Executed: 1\r\n"
        if refusal_s:
            header_lines += f"Retry-After: {refusal_s}\r\n"
        return self._encode_answer(
            status, request_id, b"", header_lines.encode()
        )

    def _record_arrival(self, request_id, *, ran, status, body, refusal_s=0.0):
        now_s = trio.current_time()
        self.observed.arrivals.append(
            history.Arrival(
                request_id,
                self.name,
                self.zone,
                now_s,
                ran,
                status,
                digest(body),
                now_s < self.cold_until_s,
                self.state == "draining",
                refusal_s,
            )
        )

    async def _run(self, request_id):
        body = self.rng.randbytes(self.rng.randrange(1, 5_000))
        status = 200
        if self.rng.random() < self.failing_fraction:
            status = self.rng.choice(FAILURE_STATUSES)
        self._record_arrival(request_id, ran=True, status=status, body=body)
        await trio.sleep(self.service_time_s * self.rng.uniform(0.5, 2))
        if self.rng.random() < self.lost_fraction:
            return None
        return self._encode_answer(status, request_id, body, SIGNATURE)

    def _encode_answer(self, status, request_id, body, header_line):
        load = f"{self.running},{self.waiting},{SLOTS},100"
        head = (
            f"HTTP/1.1 {status} -\r\nRequest-Id: {request_id}\r\n"
            f"Server-Load: {load}\r\nContent-Length: {len(body)}\r\n"
        )
        if self.state == "draining":
            head += "Server-Leaving: 1\r\n"
        return head.encode() + header_line + b"\r\n" + body

    def next_heartbeat(self):
        """Returns the body of the next heartbeat."""
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
            "born": self.started_unix_ms,
        }


async def send_command(cores, rng, path, body=None):
    """Sends a command to core nodes in turn until one answers definitely.

    Returns:
        The status, or None if no node gave a status below 500 in time.
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


async def send_until_definite(cores, rng, path, body=None):
    """Repeats a command until a node gives a definite answer.

    Returns:
        The status of that answer.
    """
    while True:
        status = await send_command(cores, rng, path, body)
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
    """Returns a route that only one version of the configuration has."""
    return route(f"v{version}", f"/v{version}/", "stock", "safe")


def initial_configuration():
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
    """Sends one request at a time on persistent connections.

    Attributes:
        edges: Edges that it sends requests to.
        observed: Records the outcomes of its attempts.
        rng: Random numbers of its behaviour.
        ids: Numbers of the requests, shared by all callers.
        mean_pause_s: Mean time between two requests, in seconds.
    """

    edges: list
    observed: history.History
    rng: random.Random
    ids: itertools.count
    mean_pause_s: float

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
                        data = await self._send_request(stream, edge, data)
                        if data is None:
                            break
                        await trio.sleep(
                            self.rng.uniform(0, 2 * self.mean_pause_s)
                        )
            await trio.sleep(self.rng.uniform(0, 2 * self.mean_pause_s))

    async def _send_request(self, stream, edge, data):
        """Sends one request and records its outcome.

        Returns:
            The bytes after the answer; None if the connection cannot be used
            any more.
        """
        once = self.rng.random() < 0.4
        name = f"r{next(self.ids)}"
        sent_s = trio.current_time()
        status, body, signed, rest = None, b"", False, None
        try:
            with trio.move_on_after(ROUTE_TIMEOUT_S + 1):
                await stream.send_all(self._encode_request(name, once=once))
                first_line, headers, data = await read_head(stream, data)
                body, rest = await read_body(stream, headers, data)
                status = int(first_line.split()[1])
                signed = "response-signature" in headers
                if headers.get("connection") == "close":
                    rest = None
        except (EOFError, trio.BrokenResourceError, ValueError):
            status = None
        self.observed.answers.append(
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

    def _encode_request(self, name, *, once):
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
    """Changes the configuration and evacuates zones.

    Attributes:
        cores: Core nodes that it sends commands to.
        observed: Records the acknowledged commands.
        rng: Random numbers of its behaviour.
        version: Newest acknowledged version.
        newest_version: Newest version that it has proposed.
    """

    cores: list
    observed: history.History
    rng: random.Random
    version: int = 1
    newest_version: int = 1

    async def change(self, *, race):
        """Makes one change, or two competing changes of the same version."""
        base = self.version
        async with trio.open_nursery() as nursery:
            for _ in range(1 + race):
                self.newest_version += 1
                nursery.start_soon(self._send, self.newest_version, base)

    async def _send(self, version, base):
        status = await send_until_definite(
            self.cores, self.rng, "/Config.Update", update(version, base)
        )
        if status == 200:
            self.observed.commands.append(
                history.Command(
                    "change", str(version), trio.current_time(), base
                )
            )
            self.version = max(self.version, version)

    async def evacuate(self, zone, duration_s):
        """Evacuates a zone for some time."""
        for kind, verb in (("evacuate", "Begin"), ("return", "Finish")):
            path = f"/Evacuations.{verb}/{zone}"
            sent_s = trio.current_time()
            await send_until_definite(self.cores, self.rng, path)
            # An evacuation may have ended before its end is acknowledged.
            at_s = trio.current_time() if kind == "evacuate" else sent_s
            self.observed.commands.append(history.Command(kind, zone, at_s))
            if kind == "evacuate":
                await trio.sleep(duration_s)

    async def read_back(self, core):
        """Returns the version that a core node has, or None if it fails."""
        with contextlib.suppress(*deployment.CALL_ERRORS):
            status, _, body = await deployment.call(
                core.ip, deployment.CONTROL_PORT, "GET", "/Config.Read"
            )
            return json.loads(body)["version"] if status == 200 else None
        return None
