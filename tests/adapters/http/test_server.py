"""Guards against cut replies, requests taken wrongly and stuck workers."""

import contextlib
import json

import attrs
import pytest
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import http

LIMITS = http.HttpLimits(
    workers=4, max_body_bytes=1_000, max_head_bytes=2_000, receive_s=0.3
)


class Handler:
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
async def serving(limits=LIMITS):
    handler = Handler()
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


async def talk(server, data):
    async with await connect(server) as stream:
        await stream.send_all(data)
        return await receive_all(stream)


def get(path, method="GET", extra=""):
    text = f"{method} {path} HTTP/1.1\r\nHost: x\r\n{extra}"
    return (text + "Connection: close\r\n\r\n").encode()


LONG = "X: " + "y" * 3_000 + "\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"


@pytest.mark.parametrize(
    ("request_bytes", "status", "code", "not_run"),
    [
        (get("/refused"), 404, "NOT_FOUND", True),
        (get("/failed"), 500, "INTERNAL_ERROR", False),
        (b"nonsense\r\n\r\n", 400, "BAD_REQUEST", True),
        (get("/", extra=LONG), 413, "TOO_LARGE", True),
        (get("/", extra="Content-Length: 9999\r\n"), 413, "TOO_LARGE", True),
        (
            get("/", "POST", CHUNKED) + b"fff\r\n" + b"a" * 4095 + b"\r\n",
            413,
            "TOO_LARGE",
            True,
        ),
        (
            get("/", extra="Content-Length: 1\r\nContent-Length: 2\r\n"),
            400,
            "BAD_REQUEST",
            True,
        ),
        (get("/", "POST", CHUNKED) + b"zz\r\n", 400, "BAD_REQUEST", True),
        (
            get("/", "POST", CHUNKED + "Content-Length: 3\r\n") + b"abc",
            400,
            "BAD_REQUEST",
            True,
        ),
        (b"POST / HTTP/1.1\r\nCont", 408, "REQUEST_TIMEOUT", True),
        (
            get("/", "POST", "Content-Length: 9\r\n") + b"abc",
            408,
            "REQUEST_TIMEOUT",
            True,
        ),
    ],
)
async def test_refusals_are_json_without_traceback(
    request_bytes, status, code, not_run
):
    async with serving() as (server, handler):
        reply = await talk(server, request_bytes)
    head, _, body = reply.partition(b"\r\n\r\n")
    assert head.split(b" ")[1] == str(status).encode()
    decoded = json.loads(body)
    assert (decoded["code"], decoded["not_run"]) == (code, not_run)
    assert b"secret" not in reply
    if not_run and status != 404:
        assert not handler.requests


@pytest.mark.parametrize("path", ["/short", "/broken"])
async def test_incomplete_reply_cannot_be_taken_for_a_whole_one(path):
    async with serving() as (server, _):
        reply = await talk(server, get(path))
    body = reply.partition(b"\r\n\r\n")[2]
    assert b"part" in body
    assert not body.endswith(b"0\r\n\r\n")
    assert len(body) < 10 + len(b"4\r\n\r\n")


async def test_kept_connection_serves_requests_in_order():
    chunked = get("/", "POST", CHUNKED).replace(b"Connection: close\r\n", b"")
    chunked += b"3\r\none\r\n0\r\nTrailer: x\r\n\r\n"
    async with serving() as (server, handler):
        reply = await talk(
            server, chunked + b"HEAD /x HTTP/1.1\r\n\r\n" + get("/stream")
        )
    assert [r.method for r in handler.requests] == ["POST", "HEAD", "GET"]
    assert handler.requests[0].body == b"one"
    assert reply.count(b"x" * 100) == 50
    assert reply.endswith(b"0\r\n\r\n")


async def test_repeated_headers_and_raw_path_are_kept():
    async with serving() as (server, handler):
        await talk(server, get("/a%2Fb%20c?d=%2F", extra="X: 1\r\nX: 2\r\n"))
    request = handler.requests[0]
    assert [v for k, v in request.headers if k == "X"] == ["1", "2"]
    assert request.raw_path == "/a%2Fb%20c"
    assert (request.path, request.query) == ("/a%2Fb c", "d=%2F")


async def test_slow_senders_do_not_keep_the_workers():
    async with serving() as (server, _), trio.open_nursery() as nursery:
        streams = [await connect(server) for _ in range(8)]

        async def drip(stream):
            with contextlib.suppress(trio.BrokenResourceError):
                for _ in range(40):
                    await stream.send_all(b"G")
                    await trio.sleep(0.05)

        for stream in streams:
            nursery.start_soon(drip, stream)
        with trio.fail_after(1.5):
            assert b"200 OK" in await talk(server, get("/"))
        nursery.cancel_scope.cancel()


async def test_connections_are_limited_before_files_run_out():
    limits = attrs.evolve(LIMITS, max_connections=4)
    async with serving(limits) as (server, _):
        idle = [await connect(server) for _ in range(4)]
        kept = get("/").replace(b"Connection: close\r\n", b"")
        await idle[0].send_all(kept)
        first = await idle[0].receive_some()
        refused = await receive_all(await connect(server))
    assert b"200 OK" in first
    assert json.loads(refused.partition(b"\r\n\r\n")[2])["not_run"]


async def test_stop_answers_what_has_arrived():
    async with serving() as (server, handler), trio.open_nursery() as nursery:
        kept, waiting, idle = [await connect(server) for _ in range(3)]
        await idle.send_all(get("/").replace(b"Connection: close\r\n", b""))
        await idle.receive_some()
        await waiting.send_all(get("/wait"))
        await handler.entered.wait()
        # Without this the reply below can be sent before the stop begins.
        server.disable_keep_alive()
        nursery.start_soon(server.stop)
        await kept.send_all(get("/").replace(b"Connection: close\r\n", b""))
        late = await receive_all(kept)
        handler.release.set()
        assert (await receive_all(waiting)).endswith(b"done")
        assert await receive_all(idle) == b""
    assert b"200 OK" in late and b"Connection: close" in late
    with pytest.raises(OSError, match="connect"):
        await connect(server)


async def test_cancelling_ends_requests_in_progress():
    with trio.fail_after(3):
        async with serving() as (server, handler):
            stream = await connect(server)
            await stream.send_all(get("/wait"))
            await handler.entered.wait()
        assert await receive_all(stream) == b""
