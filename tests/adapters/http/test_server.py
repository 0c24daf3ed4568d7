"""Guards against truncated replies, misparsed requests and stuck workers."""

import contextlib
import json
import time

import attrs
from cheroot import server as cheroot_server
import pytest
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import http
from guavapulley.adapters.http import _gateway

LIMITS = http.HttpLimits(
    workers=4, max_body_bytes=1_000, max_head_bytes=2_000, receive_timeout_s=0.3
)


class FakeHandler:
    def __init__(self):
        self.release = trio.Event()
        self.entered = trio.Event()
        self.requests = []

    async def handle(self, request, reply):
        self.requests.append(request)
        self.entered.set()
        match request.path:
            case "/refused":
                raise http.HttpError(http.NOT_FOUND, "no", path="x")
            case "/failed":
                raise ValueError("secret")
            case "/short":
                await reply.start(model.AnswerHead(200, (), 10))
                await reply.write(b"part")
            case "/broken":
                await reply.start(model.AnswerHead(200))
                await reply.write(b"part")
                raise errors.GuavapulleyError("X", "late")
            case "/wait":
                await self.release.wait()
                await reply.start(model.AnswerHead(200, (), 4))
                await reply.write(b"done")
            case "/stream":
                await reply.start(model.AnswerHead(200))
                for _ in range(50):
                    await reply.write(b"x" * 100)
            case _:
                await reply.start(model.AnswerHead(200, (), len(request.body)))
                await reply.write(request.body)


@contextlib.asynccontextmanager
async def running_server(limits=LIMITS):
    handler = FakeHandler()
    async with trio.open_nursery() as nursery:
        server = await nursery.start(
            lambda task_status: http.serve_http(
                model.NodeAddress("127.0.0.1", 0),
                handler,
                ports.NullEventLog(),
                limits=limits,
                task_status=task_status,
            )
        )
        yield server, handler
        nursery.cancel_scope.cancel()


async def connect(server):
    return await trio.open_tcp_stream("127.0.0.1", server.address.port)


async def receive_all(stream):
    data = b""
    with contextlib.suppress(trio.BrokenResourceError), trio.fail_after(5):
        while chunk := await stream.receive_some():
            data += chunk
    return data


async def exchange(server, data):
    async with await connect(server) as stream:
        await stream.send_all(data)
        return await receive_all(stream)


def build_request(path, method="GET", extra_headers=""):
    text = f"{method} {path} HTTP/1.1\r\nHost: x\r\n{extra_headers}"
    return (text + "Connection: close\r\n\r\n").encode()


LONG_HEADER = "X: " + "y" * 3_000 + "\r\n"
CHUNKED_HEADER = "Transfer-Encoding: chunked\r\n"


@pytest.mark.parametrize(
    ("request_bytes", "status", "code", "not_run"),
    [
        (build_request("/refused"), 404, "NOT_FOUND", True),
        (build_request("/failed"), 500, "INTERNAL_ERROR", False),
        (b"nonsense\r\n\r\n", 400, "BAD_REQUEST", True),
        (build_request("/", extra_headers=LONG_HEADER), 413, "TOO_LARGE", True),
        (
            build_request("/", extra_headers="Content-Length: 9999\r\n"),
            413,
            "TOO_LARGE",
            True,
        ),
        (
            build_request("/", "POST", CHUNKED_HEADER)
            + b"fff\r\n"
            + b"a" * 4095
            + b"\r\n",
            413,
            "TOO_LARGE",
            True,
        ),
        (
            build_request(
                "/", extra_headers="Content-Length: 1\r\nContent-Length: 2\r\n"
            ),
            400,
            "BAD_REQUEST",
            True,
        ),
        (
            build_request("/", "POST", CHUNKED_HEADER) + b"zz\r\n",
            400,
            "BAD_REQUEST",
            True,
        ),
        (
            build_request("/", "POST", CHUNKED_HEADER + "Content-Length: 3\r\n")
            + b"abc",
            400,
            "BAD_REQUEST",
            True,
        ),
        (b"POST / HTTP/1.1\r\nCont", 408, "REQUEST_TIMEOUT", True),
        (
            build_request("/", "POST", "Content-Length: 9\r\n") + b"abc",
            408,
            "REQUEST_TIMEOUT",
            True,
        ),
    ],
)
async def test_refusals_are_json_without_traceback(
    request_bytes, status, code, not_run
):
    async with running_server() as (server, handler):
        reply = await exchange(server, request_bytes)
    head, _, body = reply.partition(b"\r\n\r\n")
    assert head.split(b" ")[1] == str(status).encode()
    decoded = json.loads(body)
    assert (decoded["code"], decoded["not_run"]) == (code, not_run)
    assert b"secret" not in reply
    if not_run and status != 404:
        assert not handler.requests


@pytest.mark.parametrize("path", ["/short", "/broken"])
async def test_incomplete_reply_is_detectable(path):
    async with running_server() as (server, _):
        reply = await exchange(server, build_request(path))
    body = reply.partition(b"\r\n\r\n")[2]
    assert b"part" in body
    assert not body.endswith(b"0\r\n\r\n")
    assert len(body) < 10 + len(b"4\r\n\r\n")


async def test_persistent_connection_serves_requests_in_order():
    chunked = build_request("/", "POST", CHUNKED_HEADER).replace(
        b"Connection: close\r\n", b""
    )
    chunked += b"3\r\none\r\n0\r\nTrailer: x\r\n\r\n"
    async with running_server() as (server, handler):
        reply = await exchange(
            server,
            chunked + b"HEAD /x HTTP/1.1\r\n\r\n" + build_request("/stream"),
        )
    assert [request.method for request in handler.requests] == [
        "POST",
        "HEAD",
        "GET",
    ]
    assert handler.requests[0].body == b"one"
    assert reply.count(b"x" * 100) == 50
    assert reply.endswith(b"0\r\n\r\n")


async def test_repeated_headers_and_raw_path_are_kept():
    async with running_server() as (server, handler):
        await exchange(
            server,
            build_request("/a%2Fb%20c?d=%2F", extra_headers="X: 1\r\nX: 2\r\n"),
        )
    request = handler.requests[0]
    assert [value for name, value in request.headers if name == "X"] == [
        "1",
        "2",
    ]
    assert request.raw_path == "/a%2Fb%20c"
    assert (request.path, request.query) == ("/a%2Fb c", "d=%2F")


async def test_an_offer_to_upgrade_is_ignored():
    # A second answer would be taken for that to the next request.
    offer = build_request(
        "/", extra_headers="Connection: Upgrade\r\nUpgrade: h2c\r\n"
    ).replace(b"Connection: close\r\n", b"")
    async with running_server() as (server, _):
        stream = await connect(server)
        await stream.send_all(offer)
        first = await stream.receive_some()
        await trio.sleep(0.1)
        await stream.send_all(build_request("/"))
        second = await receive_all(stream)
    assert first.count(b"HTTP/1.1 200 ") == 1
    assert second.count(b"HTTP/1.1 ") == second.count(b"HTTP/1.1 200 ") == 1


async def test_slow_senders_do_not_occupy_the_workers():
    async with running_server() as (server, _), trio.open_nursery() as nursery:
        streams = [await connect(server) for _ in range(8)]

        async def send_slowly(stream):
            with contextlib.suppress(trio.BrokenResourceError):
                for _ in range(40):
                    await stream.send_all(b"G")
                    await trio.sleep(0.05)

        for stream in streams:
            nursery.start_soon(send_slowly, stream)
        with trio.fail_after(1.5):
            assert b"200 OK" in await exchange(server, build_request("/"))
        nursery.cancel_scope.cancel()


async def test_connections_are_limited_before_file_descriptors_run_out():
    limits = attrs.evolve(LIMITS, max_connections=4)
    async with running_server(limits) as (server, _):
        streams = [await connect(server) for _ in range(4)]
        keep_alive_request = build_request("/").replace(
            b"Connection: close\r\n", b""
        )
        await streams[0].send_all(keep_alive_request)
        first_answer = await streams[0].receive_some()
        refusal = await receive_all(await connect(server))
    assert b"200 OK" in first_answer
    assert json.loads(refusal.partition(b"\r\n\r\n")[2])["not_run"]


async def test_a_connection_with_a_request_in_progress_counts_to_the_limit():
    # Otherwise one connection beyond the limit is accepted for each request
    # whose answer was sent but which the worker has not finished yet.
    limits = attrs.evolve(LIMITS, max_connections=2)
    async with running_server(limits) as (server, handler):
        busy = await connect(server)
        await busy.send_all(build_request("/wait"))
        await handler.entered.wait()
        idle = await connect(server)
        refusal = await receive_all(await connect(server))
        handler.release.set()
        assert (await receive_all(busy)).endswith(b"done")
        accepted = await exchange(server, build_request("/"))
        await idle.aclose()
    assert json.loads(refusal.partition(b"\r\n\r\n")[2])["not_run"]
    assert b"200 OK" in accepted


async def test_a_connection_that_its_caller_sees_closed_counts_no_longer(
    monkeypatch,
):
    # A caller that connected again at once was refused, although there was
    # room, until the worker had finished the connection.
    close_socket = cheroot_server.HTTPConnection.close

    def close_and_pause(connection):
        close_socket(connection)
        time.sleep(0.2)

    monkeypatch.setattr(cheroot_server.HTTPConnection, "close", close_and_pause)
    limits = attrs.evolve(LIMITS, max_connections=1)
    async with running_server(limits) as (server, _):
        answers = [await exchange(server, build_request("/")) for _ in range(3)]
    assert all(b"200 OK" in answer for answer in answers)


async def test_stop_answers_requests_that_have_arrived():
    async with (
        running_server() as (server, handler),
        trio.open_nursery() as nursery,
    ):
        unused, waiting, idle = [await connect(server) for _ in range(3)]
        await idle.send_all(
            build_request("/").replace(b"Connection: close\r\n", b"")
        )
        await idle.receive_some()
        await waiting.send_all(build_request("/wait"))
        await handler.entered.wait()
        # Without this, the late answer can be sent before the stop begins.
        server.disable_keep_alive()
        nursery.start_soon(server.stop)
        await unused.send_all(
            build_request("/").replace(b"Connection: close\r\n", b"")
        )
        late_answer = await receive_all(unused)
        handler.release.set()
        assert (await receive_all(waiting)).endswith(b"done")
        assert await receive_all(idle) == b""
    assert b"200 OK" in late_answer and b"Connection: close" in late_answer
    with pytest.raises(OSError, match="connect"):
        await connect(server)


async def test_a_request_whose_handler_was_started_is_not_refused(monkeypatch):
    # The caller was told that the request had not run, though trio ended only
    # after its handler had received it.
    start_exchange = _gateway.Bridge.start_exchange

    async def start_and_end(bridge, request):
        await start_exchange(bridge, request)
        raise trio.Cancelled._create()

    monkeypatch.setattr(_gateway.Bridge, "start_exchange", start_and_end)
    async with running_server() as (server, handler):
        answer = await exchange(server, build_request("/"))
        assert handler.requests
    assert answer == b""


async def test_cancellation_ends_requests_in_progress():
    with trio.fail_after(3):
        async with running_server() as (server, handler):
            stream = await connect(server)
            await stream.send_all(build_request("/wait"))
            await handler.entered.wait()
        assert await receive_all(stream) == b""
