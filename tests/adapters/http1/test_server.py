"""Guards against lost, reordered and invalid requests of callers."""

import contextlib

import pytest
import trio

from guavapulley import model
from guavapulley.adapters import http1
from guavapulley.adapters.http1 import _server


def build_request(path, *headers):
    lines = [f"GET {path} HTTP/1.1", "Host: h", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def connect(address):
    return await trio.open_tcp_stream(address.host, address.port)


async def test_pipelined_answers_are_sent_in_order(serve, handler):
    stream = await connect(await serve(handler))
    await stream.send_all(
        build_request("/200") + build_request("/1") + build_request("/100")
    )
    data = b""
    with trio.fail_after(5):
        while data.count(b"\r\n\r\n/") < 3:
            data += await stream.receive_some(4096)
    assert [part[:4] for part in data.split(b"\r\n\r\n")[1:]] == [
        b"/200",
        b"/1HT",
        b"/100",
    ]
    assert handler.finished == ["/1", "/100", "/200"]


async def test_request_that_may_not_overlap_waits_for_earlier_ones(
    serve, handler
):
    stream = await connect(await serve(handler))
    post = b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
    await stream.send_all(build_request("/100") + post)
    with trio.fail_after(5):
        await handler.wait_for_count(handler.finished, 2)
    assert handler.finished == ["/100", "/1"]


async def test_request_is_cancelled_when_its_caller_disconnects(serve, handler):
    stream = await connect(await serve(handler))
    await stream.send_all(build_request("/5000"))
    await trio.sleep(0.05)
    await stream.aclose()
    with trio.fail_after(0.5):
        await handler.wait_for_count(handler.cancelled, 1)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"rubbish\r\n\r\n", b"400"),
        (build_request("/1", "X: " + "y" * 20_000), b"431"),
        (
            b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /2 HTTP/1.1\r\n",
            b"400",
        ),
        (
            b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            b"400",
        ),
        (b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n", b"413"),
    ],
)
async def test_invalid_requests_are_refused_and_never_handled(
    serve, handler, data, status
):
    limits = model.CallerLimits(max_body_bytes=8)
    stream = await connect(await serve(handler, lambda: limits))
    await stream.send_all(data)
    if status == b"413":
        await stream.send_all(b"123456789")
    received = b""
    with trio.fail_after(5):
        while chunk := await stream.receive_some(4096):
            received += chunk
    assert received.split()[1] == status
    assert received.count(b"HTTP/1.1") == 1
    assert not handler.finished


async def test_chunked_bodies_are_received_completely(serve, handler):
    stream = await connect(await serve(handler))
    await stream.send_all(
        b"POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n"
    )
    await trio.sleep(0.02)
    await stream.send_all(b"2\r\nde\r\n0\r\n\r\n")
    with trio.fail_after(5):
        await stream.receive_some(4096)
    assert handler.requests[0].body == b"abcde"


async def test_incomplete_head_times_out(serve, handler):
    limits = model.CallerLimits(header_timeout_s=0.1)
    stream = await connect(await serve(handler, lambda: limits))
    await stream.send_all(b"GET /1 HT")
    with trio.fail_after(5):
        assert (await stream.receive_some(4096)).split()[1] == b"408"


async def test_stopping_closes_connections_after_their_answers(serve, handler):
    state = http1.ServerState()
    address = await serve(handler, state=state)
    busy, idle = await connect(address), await connect(address)
    await busy.send_all(build_request("/200"))
    await trio.sleep(0.05)
    state.stopping = True
    state.idle_closing.set()
    with trio.fail_after(2):
        assert await idle.receive_some(4096) == b""
        answer = await busy.receive_some(4096)
        assert b"Connection: close" in answer
        assert answer.endswith(b"/200")
        assert await busy.receive_some(4096) == b""


@pytest.mark.parametrize("end", ["answered", "refused", "disconnected"])
async def test_each_end_of_a_request_counts_as_sent(serve, handler, end):
    """A request that stays counted would delay the end of a process."""
    state = http1.ServerState()
    stream = await connect(await serve(handler, state=state))
    requests = build_request("/100") + build_request("/50")
    if end == "refused":
        requests += b"no request\r\n\r\n"
    await stream.send_all(requests)
    await handler.wait_for_count(handler.requests, 1)
    assert state.unsent > 0
    if end == "disconnected":
        await stream.aclose()
    with trio.fail_after(2):
        await state.wait_sent()
    assert state.unsent == 0
    assert (len(handler.finished) == 2) == (end != "disconnected")


async def test_request_that_expects_continue_keeps_its_headers(serve, handler):
    stream = await connect(await serve(handler))
    await stream.send_all(
        b"POST /1 HTTP/1.1\r\nHost: h\r\nId: 7\r\nExpect: 100-continue\r\n"
        b"Content-Length: 3\r\n\r\n"
    )
    with trio.fail_after(5):
        first = await stream.receive_some(4096)
        assert first == b"HTTP/1.1 100 Continue\r\n\r\n"
        await stream.send_all(b"ab")
        await trio.sleep(0.02)
        await stream.send_all(b"c")
        assert (await stream.receive_some(4096)).split()[1] == b"200"
    assert handler.requests[0].header("id") == "7"
    assert handler.requests[0].body == b"abc"


async def test_caller_that_does_not_read_does_not_stop_the_server(
    serve, handler, monkeypatch
):
    async def answer(request):
        return model.Answer(model.AnswerHead(200), b"x" * 8_000_000)

    monkeypatch.setattr(_server, "WRITE_TIMEOUT_S", 0.1)
    address = await serve(handler)
    handler.answer, original_answer = answer, handler.answer
    slow = await connect(address)
    await slow.send_all(build_request("/1"))
    await trio.sleep(0.5)
    handler.answer = original_answer
    other = await connect(address)
    await other.send_all(build_request("/1"))
    with trio.fail_after(5):
        assert (await other.receive_some(4096)).split()[1] == b"200"


POST = b"POST /1 HTTP/1.1\r\nHost: h\r\n"
CHUNKED_POST = POST + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_REQUESTS = {
    "target": (b"GET /", b"x" * 60_000),
    "header name": (POST, b"x" * 60_000),
    "header value": (POST + b"X: ", b"x" * 60_000),
    "headers": (POST, b"X: y\r\n" * 9_000),
    "chunk extension": (CHUNKED_POST + b"4;", b"x" * 60_000),
    "trailer": (CHUNKED_POST + b"0\r\nX: ", b"x" * 60_000),
    "line breaks": (b"\r\n", b"\r\n" * 30_000),
    "body": (CHUNKED_POST, b"ea60\r\n" + b"x" * 60_000 + b"\r\n"),
}


@pytest.mark.parametrize("kind", ENDLESS_REQUESTS)
async def test_endless_requests_are_refused(serve, handler, kind):
    state = _server.ServerState(body_budget=http1.BodyBudget(1_000_000))
    start, part = ENDLESS_REQUESTS[kind]
    stream = await connect(await serve(handler, state=state))
    received = b""
    with trio.fail_after(10):
        await stream.send_all(start)
        async with trio.open_nursery() as nursery:

            async def send():
                with contextlib.suppress(trio.BrokenResourceError):
                    while True:
                        await stream.send_all(part)

            nursery.start_soon(send)
            with contextlib.suppress(trio.BrokenResourceError):
                while data := await stream.receive_some(4_096):
                    received += data
            nursery.cancel_scope.cancel()
    assert received.split(b" ")[1] in (b"400", b"431", b"503")
    assert handler.requests == []


async def test_a_body_is_refused_while_the_budget_is_used_up(serve, handler):
    state = _server.ServerState(body_budget=http1.BodyBudget(0))
    stream = await connect(await serve(handler, state=state))
    head = POST + b"Content-Length: 40000\r\n\r\n"
    await stream.send_all(head + b"x" * 40_000)
    with trio.fail_after(5):
        assert (await stream.receive_some(4_096)).startswith(b"HTTP/1.1 503 ")
    assert handler.requests == []


class ChangingLimits:
    """Limits that an operator changes while connections are open."""

    def __init__(self, **limits):
        self.current = model.CallerLimits(**limits)

    def __call__(self):
        return self.current


def build_order(size, *headers):
    lines = ["POST /0 HTTP/1.1", "Host: h", f"Content-Length: {size}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + b"x" * size


EMPTY_ORDER, SMALL_ORDER = build_order(0), build_order(10)
LONG_BODY, LONG_HEAD = build_order(100), build_order(0, "X: " + "y" * 500)


async def receive_status(stream):
    with trio.fail_after(5):
        return (await stream.receive_some(4096))[9:12]


@pytest.mark.parametrize(
    ("limit", "before", "after", "first", "second", "status"),
    [
        ("max_body_bytes", 10, 100, SMALL_ORDER, LONG_BODY, b"200"),
        ("max_body_bytes", 100, 10, SMALL_ORDER, LONG_BODY, b"413"),
        ("max_header_bytes", 100, 1_000, EMPTY_ORDER, LONG_HEAD, b"200"),
        ("max_header_bytes", 1_000, 100, EMPTY_ORDER, LONG_HEAD, b"431"),
    ],
    ids=["larger body", "smaller body", "larger head", "smaller head"],
)
async def test_a_kept_connection_follows_a_change_of_the_limits_on_sizes(
    serve, handler, limit, before, after, first, second, status
):
    # Callers that kept their connections were refused by the old limit.
    limits = ChangingLimits(**{limit: before})
    stream = await connect(await serve(handler, limits))
    await stream.send_all(first)
    assert await receive_status(stream) == b"200"
    limits.current = model.CallerLimits(**{limit: after})
    await stream.send_all(second)
    assert await receive_status(stream) == status


async def test_a_request_in_progress_keeps_the_limit_with_which_it_began(
    serve, handler
):
    limits = ChangingLimits(max_body_bytes=100)
    stream = await connect(await serve(handler, limits))
    order = build_order(100)
    await stream.send_all(order[:-50])
    await trio.sleep(0.1)
    limits.current = model.CallerLimits(max_body_bytes=10)
    await stream.send_all(order[-50:])
    assert await receive_status(stream) == b"200"


async def test_a_kept_connection_follows_a_change_of_the_idle_timeout(
    serve, handler
):
    limits = ChangingLimits(idle_timeout_s=0.2)
    stream = await connect(await serve(handler, limits))
    await stream.send_all(build_order(0))
    assert await receive_status(stream) == b"200"
    limits.current = model.CallerLimits(idle_timeout_s=30.0)
    with trio.move_on_after(2.5):
        await stream.receive_some(1)
        pytest.fail("the connection was closed by the old timeout")
    await stream.send_all(build_order(0))
    assert await receive_status(stream) == b"200"
