"""Guards against an HTTP interface of entries that alters or loses requests."""

import contextlib
import json

import attrs
import pytest
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley import serving
from guavapulley.adapters import http
from guavapulley.programs import _simulated_upstream

SERVICES = (
    model.Service("stock", model.TrafficClass.SHORT),
    model.Service("orders", model.TrafficClass.ONCE),
    model.Service("sync", model.TrafficClass.BULK),
)
ADDRESS = model.NodeAddress("127.0.0.1", 0)
TOKENS = {"upstream_token": "up", "operator_token": "op"}
UPSTREAM_AUTH = "Authorization: Bearer up\r\n"
OPERATOR_AUTH = "Authorization: Bearer op\r\n"


def record(name="u1", port=1, service="stock"):
    address = model.NodeAddress("127.0.0.1", port)
    return model.UpstreamRecord(name, service, address, "pb", "pb-1", 3, 30)


class FakeRegistry:
    """Registry of upstreams with one live entry."""

    def __init__(self):
        self.records = {}
        self.leaving = []

    def announce(self, announced):
        self.records[announced.upstream] = announced

    def renew(self, upstream, incarnation, sequence, load):
        existing = self.records.get(upstream)
        if existing is None:
            raise errors.GuavapulleyError("UPSTREAM_UNKNOWN", "announce")
        self.records[upstream] = attrs.evolve(existing, load=load)

    def leave(self, upstream, incarnation):
        self.leaving.append((upstream, incarnation))

    def record_dispatch_result(self, upstream, succeeded):
        pass

    def upstreams(self, service):
        return [
            ports.UpstreamObservation(record, 0.0, 0.0)
            for record in self.records.values()
        ]

    def live_entries(self):
        alive = model.EntryState.ALIVE
        return [
            model.EntryRecord("e1", "pb", "pb-1", ADDRESS, ADDRESS, 1, 1, alive)
        ]


class FirstUpstreamSteerer:
    """`serving.Steerer` that sends each request to the first upstream."""

    def __init__(self, registry):
        self.registry = registry
        self.requests = []

    async def run(self, request, service, attempt):
        self.requests.append(request)
        return await attempt(next(iter(self.registry.records.values())))

    def explain(self, request_id):
        request_ids = [request.request_id for request in self.requests]
        return {"request": request_id} if request_id in request_ids else None

    def in_flight(self):
        return {}

    def claims(self):
        return {}


class FakeControl:
    """Confirms one configuration and grants every claim."""

    async def watch(self, request):
        if request.after:
            await trio.sleep(request.wait_s)
            return model.WatchReply(None, 1, True)
        return model.WatchReply(model.Configuration(1, SERVICES), 1, True)

    def switch_replica(self):
        pass

    async def claim_key(self, request, timeout_s):
        return model.ClaimReply(model.ClaimStatus.GRANTED)

    async def record_outcome(self, request, timeout_s):
        return model.RecordReply(True)

    async def outcome(self, request, timeout_s):
        if request.key != "orders/a/b":
            return None
        answer = model.Answer(model.AnswerHead(200), b"done")
        return model.StoredOutcome(
            request.key,
            "",
            "e1",
            "r",
            1,
            0,
            model.OutcomeKind.COMPLETED,
            answer,
        )


@contextlib.asynccontextmanager
async def running_entry():
    control, registry = FakeControl(), FakeRegistry()
    steerer = FirstUpstreamSteerer(registry)
    client = http.UrllibUpstreamClient()
    events = ports.NullEventLog()
    dispatcher = serving.Dispatcher(client, registry, "pb", None)
    watcher = serving.ConfigurationWatcher("e1", control, lambda: 0, events)
    once_executor = serving.OnceExecutor(
        "e1", control, steerer, dispatcher, lambda: 0.0, lambda: "c", events
    )
    region_resolver = serving.CallerRegionResolver("pb")
    requests = serving.RequestService(
        watcher,
        steerer,
        dispatcher,
        once_executor,
        region_resolver,
        ports.NullMetrics(),
    )
    view = serving.EntryView(watcher, registry)
    services = http.EntryServices(
        "e1",
        requests,
        once_executor,
        serving.Lookup(view),
        region_resolver,
        registry,
        watcher,
        view,
        steerer,
    )
    frontend = http.EntryFrontend(services, **TOKENS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watcher.run)
        await watcher.ready.wait()
        server = await nursery.start(
            lambda task_status: http.serve_http(
                ADDRESS,
                frontend,
                events,
                limits=http.HttpLimits(workers=4),
                task_status=task_status,
            )
        )
        simulated = await nursery.start(
            lambda task_status: _simulated_upstream.run_simulated_upstream(
                _simulated_upstream.SimulatedUpstreamSettings(
                    record(port=0), answer_bytes=200_000
                ),
                events,
                task_status=task_status,
            )
        )
        registry.announce(simulated.record)
        yield server, steerer, simulated
        client.close()
        nursery.cancel_scope.cancel()


async def call(server, method, path, extra_headers="", body=b""):
    """Returns the status, head and body of the reply to a request."""
    port = server.address.port
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n{extra_headers}\r\n"
        )
        await stream.send_all(head.encode() + body)
        data = b""
        while chunk := await stream.receive_some():
            data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), head.decode(), body


@pytest.mark.parametrize("service", ["stock", "orders", "sync"])
async def test_request_reaches_the_upstream_and_the_answer_is_complete(service):
    async with running_entry() as (server, steerer, simulated):
        status, head, body = await call(
            server,
            "POST",
            f"/s/{service}/a%2Fb?c=1",
            "Guavapulley-Request-Id: r7\r\nGuavapulley-Labels: shop=1\r\n"
            "Guavapulley-Deadline-Ms: 900\r\n",
            b"data",
        )
        assert simulated.served == 1
    assert (status, len(body)) == (200, 200_000)
    assert head.count("Guavapulley-Request-Id: r7") == 1
    request = steerer.requests[0]
    assert (request.path, request.body) == ("/a%2Fb?c=1", b"data")
    assert 0.5 < request.deadline_s <= 0.9
    assert request.labels["shop"] == "1"


@pytest.mark.parametrize(
    ("method", "path", "extra_headers", "body", "status", "code"),
    [
        ("GET", "/none", "", b"", 404, "NOT_FOUND"),
        ("PATCH", "/v1/lookup", "", b"", 405, "METHOD_NOT_ALLOWED"),
        ("GET", "/s/none/x", "", b"", 404, "SERVICE_UNKNOWN"),
        ("GET", "/v1/explain/r", "", b"", 401, "NOT_AUTHORIZED"),
        ("GET", "/v1/explain/r", UPSTREAM_AUTH, b"", 401, "NOT_AUTHORIZED"),
        (
            "POST",
            "/v1/upstreams/u9",
            OPERATOR_AUTH,
            b"{}",
            401,
            "NOT_AUTHORIZED",
        ),
        ("POST", "/v1/upstreams/u9", UPSTREAM_AUTH, b"{}", 400, "BAD_REQUEST"),
        ("POST", "/v1/upstreams/u9", UPSTREAM_AUTH, b"[1", 400, "BAD_REQUEST"),
        ("PUT", "/v1/upstreams/u9", UPSTREAM_AUTH, b"{}", 400, "BAD_REQUEST"),
        (
            "PUT",
            "/v1/upstreams/u9",
            UPSTREAM_AUTH,
            b'{"incarnation": 1, "sequence": 2}',
            404,
            "UPSTREAM_UNKNOWN",
        ),
        ("DELETE", "/v1/upstreams/u9", UPSTREAM_AUTH, b"", 400, "BAD_REQUEST"),
        ("GET", "/v1/outcomes/orders/x", "", b"", 404, "OUTCOME_NOT_FOUND"),
        ("GET", "/v1/explain/none", OPERATOR_AUTH, b"", 404, "NOT_FOUND"),
        (
            "GET",
            "/s/stock/x",
            "Guavapulley-Deadline-Ms: soon\r\n",
            b"",
            400,
            "BAD_REQUEST",
        ),
        (
            "GET",
            "/s/stock/x",
            "Guavapulley-Labels: nonsense\r\n",
            b"",
            400,
            "LABELS_INVALID",
        ),
    ],
)
async def test_invalid_request_is_refused_with_its_code(
    method, path, extra_headers, body, status, code
):
    async with running_entry() as (server, _, simulated):
        actual_status, _, reply = await call(
            server, method, path, extra_headers, body
        )
        assert not simulated.served
    assert (actual_status, json.loads(reply)["code"]) == (status, code)


async def test_refusal_carries_the_request_id():
    async with running_entry() as (server, _, _):
        _, head, body = await call(
            server, "GET", "/s/none/x", "Guavapulley-Request-Id: r9\r\n"
        )
    assert "Guavapulley-Request-Id: r9" in head
    assert json.loads(body)["details"]["request_id"] == "r9"


async def test_upstream_is_announced_renewed_and_leaving():
    async with running_entry() as (server, steerer, _):
        api = http.EntryApi([ADDRESS, server.address], "up")
        announced = attrs.evolve(record("u/9"), incarnation=7)
        await api.announce(announced)
        await api.renew(announced, model.LoadReport(2, 1))
        await api.leave(announced)
        registry = steerer.registry
    assert registry.records["u/9"].load == model.LoadReport(2, 1)
    assert registry.leaving == [("u/9", 7)]


async def test_lookup_status_outcome_and_explanation_are_served():
    async with running_entry() as (server, _, _):
        extra_headers = "Guavapulley-Request-Id: r1\r\n"
        await call(server, "GET", "/s/stock/x", extra_headers)
        bodies = {}
        for path in (
            "/v1/lookup?service=stock",
            "/v1/status",
            "/v1/outcomes/orders/a%2Fb",
            "/v1/explain/r1",
        ):
            status, _, body = await call(server, "GET", path, OPERATOR_AUTH)
            assert status == 200
            bodies[path.split("/")[2].partition("?")[0]] = json.loads(body)
    assert bodies["lookup"]["entries"][0]["name"] == "e1"
    assert bodies["lookup"]["lifetime_s"] == 10
    assert (bodies["status"]["state"], bodies["status"]["revision"]) == (
        "confirmed",
        1,
    )
    assert bodies["outcomes"]["answer"]["body"] == "done"
    assert bodies["explain"] == {"request": "r1"}
