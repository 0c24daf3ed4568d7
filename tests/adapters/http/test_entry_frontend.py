"""Guards the HTTP interface of entries, from callers to upstreams."""

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
UP = "Authorization: Bearer up\r\n"
OP = "Authorization: Bearer op\r\n"


def record(name="u1", port=1, service="stock"):
    address = model.NodeAddress("127.0.0.1", port)
    return model.UpstreamRecord(name, service, address, "pb", "pb-1", 3, 30)


class Registry:
    """Upstreams and entries of one process."""

    def __init__(self):
        self.records = {}
        self.left = []

    def announce(self, announced):
        self.records[announced.upstream] = announced

    def renew(self, upstream, incarnation, sequence, load):
        known = self.records.get(upstream)
        if known is None:
            raise errors.GuavapulleyError("UPSTREAM_UNKNOWN", "announce")
        self.records[upstream] = attrs.evolve(known, load=load)

    def leave(self, upstream, incarnation):
        self.left.append((upstream, incarnation))

    def record_dispatch_result(self, upstream, succeeded):
        pass

    def upstreams(self, service):
        return [
            ports.KnownUpstream(found, 0.0, 0.0)
            for found in self.records.values()
        ]

    def live_entries(self):
        alive = model.EntryState.ALIVE
        return [
            model.EntryRecord("e1", "pb", "pb-1", ADDRESS, ADDRESS, 1, 1, alive)
        ]


class FirstUpstream:
    """`serving.Steerer` without decisions."""

    def __init__(self, registry):
        self.registry = registry
        self.requests = []

    async def run(self, request, service, attempt):
        self.requests.append(request)
        return await attempt(next(iter(self.registry.records.values())))

    def explain(self, request_id):
        known = [r.request_id for r in self.requests]
        return {"request": request_id} if request_id in known else None

    def in_flight(self):
        return {}

    def claims(self):
        return {}


class Control:
    """Confirms one configuration and grants every claim."""

    async def watch(self, request):
        if request.after:
            await trio.sleep(request.wait_s)
            return model.WatchReply(None, 1, True)
        return model.WatchReply(model.Configuration(1, SERVICES), 1, True)

    def switch_replica(self):
        pass

    async def claim(self, request, timeout_s):
        return model.ClaimReply(model.ClaimStatus.GRANTED)

    async def record(self, request, timeout_s):
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
async def entry():
    control, registry = Control(), Registry()
    steerer = FirstUpstream(registry)
    client = http.UrllibUpstreamClient()
    events = ports.NullEventLog()
    dispatcher = serving.Dispatcher(client, registry, "pb", None)
    follower = serving.ConfigurationWatcher("e1", control, lambda: 0, events)
    once = serving.OnceExecutor(
        "e1", control, steerer, dispatcher, lambda: 0.0, lambda: "c", events
    )
    regions = serving.CallerRegionResolver("pb")
    requests = serving.RequestService(
        follower, steerer, dispatcher, once, regions, ports.NullMetrics()
    )
    view = serving.EntryView(follower, registry)
    services = http.EntryServices(
        "e1",
        requests,
        once,
        serving.Lookup(view),
        regions,
        registry,
        follower,
        view,
        steerer,
    )
    frontend = http.EntryFrontend(services, **TOKENS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await follower.ready.wait()
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


async def call(server, method, path, extra="", body=b""):
    """Returns status, headers and body of a reply."""
    port = server.address.port
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n{extra}\r\n"
        )
        await stream.send_all(head.encode() + body)
        data = b""
        while chunk := await stream.receive_some():
            data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), head.decode(), body


@pytest.mark.parametrize("service", ["stock", "orders", "sync"])
async def test_request_reaches_the_upstream_and_the_answer_is_whole(service):
    async with entry() as (server, steerer, simulated):
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
    ("method", "path", "extra", "body", "status", "code"),
    [
        ("GET", "/none", "", b"", 404, "NOT_FOUND"),
        ("PATCH", "/v1/lookup", "", b"", 405, "METHOD_NOT_ALLOWED"),
        ("GET", "/s/none/x", "", b"", 404, "SERVICE_UNKNOWN"),
        ("GET", "/v1/explain/r", "", b"", 401, "NOT_AUTHORIZED"),
        ("GET", "/v1/explain/r", UP, b"", 401, "NOT_AUTHORIZED"),
        ("POST", "/v1/upstreams/u9", OP, b"{}", 401, "NOT_AUTHORIZED"),
        ("POST", "/v1/upstreams/u9", UP, b"{}", 400, "BAD_REQUEST"),
        ("POST", "/v1/upstreams/u9", UP, b"[1", 400, "BAD_REQUEST"),
        ("PUT", "/v1/upstreams/u9", UP, b"{}", 400, "BAD_REQUEST"),
        (
            "PUT",
            "/v1/upstreams/u9",
            UP,
            b'{"incarnation": 1, "sequence": 2}',
            404,
            "UPSTREAM_UNKNOWN",
        ),
        ("DELETE", "/v1/upstreams/u9", UP, b"", 400, "BAD_REQUEST"),
        ("GET", "/v1/outcomes/orders/x", "", b"", 404, "OUTCOME_NOT_FOUND"),
        ("GET", "/v1/explain/none", OP, b"", 404, "NOT_FOUND"),
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
async def test_refusals(method, path, extra, body, status, code):
    async with entry() as (server, _, simulated):
        found, _, reply = await call(server, method, path, extra, body)
        assert not simulated.served
    assert (found, json.loads(reply)["code"]) == (status, code)


async def test_refusal_names_its_request():
    async with entry() as (server, _, _):
        _, head, body = await call(
            server, "GET", "/s/none/x", "Guavapulley-Request-Id: r9\r\n"
        )
    assert "Guavapulley-Request-Id: r9" in head
    assert json.loads(body)["details"]["request_id"] == "r9"


async def test_upstream_announces_renews_and_leaves():
    async with entry() as (server, steerer, _):
        api = http.EntryApi([ADDRESS, server.address], "up")
        announced = attrs.evolve(record("u/9"), incarnation=7)
        await api.announce(announced)
        await api.renew(announced, model.LoadReport(2, 1))
        await api.leave(announced)
        registry = steerer.registry
    assert registry.records["u/9"].load == model.LoadReport(2, 1)
    assert registry.left == [("u/9", 7)]


async def test_lookup_status_outcome_and_explanation():
    async with entry() as (server, _, _):
        extra = "Guavapulley-Request-Id: r1\r\n"
        await call(server, "GET", "/s/stock/x", extra)
        found = {}
        for path in (
            "/v1/lookup?service=stock",
            "/v1/status",
            "/v1/outcomes/orders/a%2Fb",
            "/v1/explain/r1",
        ):
            status, _, body = await call(server, "GET", path, OP)
            assert status == 200
            found[path.split("/")[2].partition("?")[0]] = json.loads(body)
    assert found["lookup"]["entries"][0]["name"] == "e1"
    assert found["lookup"]["lifetime_s"] == 10
    assert (found["status"]["state"], found["status"]["revision"]) == (
        "confirmed",
        1,
    )
    assert found["outcomes"]["answer"]["body"] == "done"
    assert found["explain"] == {"request": "r1"}
