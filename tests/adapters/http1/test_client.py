"""Guards against answers that are truncated or belong to other requests."""

import pytest
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import http1
from tests.adapters.http1 import conftest as support

REQUEST = model.HttpRequest(
    "GET", "/x", headers=(("Id", "7"),), raw_path="/x?y=%20"
)
ANSWER = b"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 4\r\n\r\nmine"
OTHER_ANSWER = b"HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: 5\r\n\r\nother"
ANSWER_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nId: 7\r\n\r\nmine"


async def receive_head(stream):
    data = b""
    while b"\r\n\r\n" not in data:
        received = await stream.receive_some(4096)
        if not received:
            raise trio.BrokenResourceError
        data += received
    return data


def script_sending(*parts, reset=False):
    async def script(stream):
        await receive_head(stream)
        for part in parts:
            await stream.send_all(part)
            await trio.sleep(0.01)
        if reset:
            stream.setsockopt(1, 13, b"\x01\0\0\0\0\0\0\0")
        await stream.aclose()

    return script


@pytest.mark.parametrize(
    "parts",
    [
        (ANSWER,),
        (ANSWER[:30], ANSWER[30:]),
        (OTHER_ANSWER, ANSWER),
        (OTHER_ANSWER + ANSWER,),
        (OTHER_ANSWER + ANSWER[:20], ANSWER[20:]),
        (b"HTTP/1.1 103 Early Hints\r\n\r\n" + ANSWER,),
        (ANSWER + b"garbage",),
        (ANSWER + OTHER_ANSWER,),
        (ANSWER_WITHOUT_LENGTH,),
    ],
)
async def test_only_the_answer_to_the_request_is_returned(
    scripted_upstream, client, parts
):
    upstream = await scripted_upstream(script_sending(*parts))
    answer = await client.exchange(upstream, REQUEST, reuse_connection=True)
    assert answer.body == b"mine"


@pytest.mark.parametrize(
    ("parts", "reset"),
    [
        ((ANSWER[:-2],), False),
        ((b"no answer at all\r\n\r\n",), False),
        ((OTHER_ANSWER,), False),
        ((), False),
        ((ANSWER_WITHOUT_LENGTH[:-2],), True),
        ((b"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: zz\r\n\r\n",), False),
    ],
)
async def test_incomplete_or_invalid_answer_is_an_error(
    scripted_upstream, client, parts, reset
):
    upstream = await scripted_upstream(script_sending(*parts, reset=reset))
    with pytest.raises(ports.UpstreamError) as raised:
        await client.exchange(upstream, REQUEST, reuse_connection=True)
    assert not raised.value.not_run


async def test_request_has_not_run_when_connecting_fails(client, free_port):
    address = model.NodeAddress("127.0.0.1", free_port())
    upstream = model.UpstreamRecord("u", "s", address, "r", "d", 1, 0)
    with pytest.raises(ports.UpstreamError) as raised:
        await client.exchange(upstream, REQUEST, reuse_connection=True)
    assert raised.value.not_run


async def test_connection_with_surplus_bytes_is_not_reused(
    scripted_upstream, client
):
    connections = []

    async def script(stream):
        connections.append(stream)
        while True:
            await receive_head(stream)
            await stream.send_all(ANSWER)
            if len(connections) == 1:
                await trio.sleep(0.02)
                await stream.send_all(OTHER_ANSWER)

    upstream = await scripted_upstream(script)
    await client.exchange(upstream, REQUEST, reuse_connection=True)
    await trio.sleep(0.1)
    await client.exchange(upstream, REQUEST, reuse_connection=True)
    await client.exchange(upstream, REQUEST, reuse_connection=True)
    assert len(connections) == 2


LATE_REFUSAL = (
    b"HTTP/1.1 503 Full\r\nId: 6\r\n"
    b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)


@pytest.mark.parametrize(
    "refusal", [LATE_REFUSAL, LATE_REFUSAL.replace(b"Id: 6\r\n", b"")]
)
@pytest.mark.parametrize("delay_s", [0.0, 0.02])
@pytest.mark.parametrize("answered", [True, False])
async def test_a_copy_of_an_earlier_refusal_is_not_the_answer(
    scripted_upstream, client, refusal, delay_s, answered
):
    """Callers were told that a request had not run while it was running."""
    connections = []

    async def script(stream):
        connections.append(stream)
        await receive_head(stream)
        await stream.send_all(ANSWER)
        await receive_head(stream)
        await stream.send_all(refusal)
        await trio.sleep(delay_s)
        if answered:
            await stream.send_all(ANSWER)
        await stream.aclose()

    upstream = await scripted_upstream(script)
    await client.exchange(upstream, REQUEST, reuse_connection=True)
    if answered:
        second = await client.exchange(upstream, REQUEST, reuse_connection=True)
        assert (second.head.status, second.body) == (200, b"mine")
    else:
        with pytest.raises(ports.UpstreamError) as raised:
            await client.exchange(upstream, REQUEST, reuse_connection=True)
        assert not raised.value.not_run
    assert len(connections) == 1


async def test_cancellation_closes_the_connection(scripted_upstream, client):
    closed = trio.Event()

    async def script(stream):
        await receive_head(stream)
        if not await stream.receive_some(1):
            closed.set()

    upstream = await scripted_upstream(script)
    with trio.move_on_after(0.05):
        await client.exchange(upstream, REQUEST, reuse_connection=True)
    with trio.fail_after(2):
        await closed.wait()


async def test_target_and_body_reach_the_upstream_unchanged(
    scripted_upstream, client
):
    received_heads = []

    async def script(stream):
        received_heads.append(await receive_head(stream))
        await stream.send_all(ANSWER)

    upstream = await scripted_upstream(script)
    request = model.HttpRequest(
        "POST", "/x", "y=%20", (("Id", "7"),), b"\0body", "", "/x?y=%20"
    )
    await client.exchange(upstream, request, reuse_connection=True)
    assert received_heads[0].startswith(b"POST /x?y=%20 HTTP/1.1\r\n")
    assert received_heads[0].endswith(b"Content-Length: 5\r\n\r\n\0body")


async def test_a_request_is_not_sent_if_permission_ends_while_connecting(
    scripted_upstream, client
):
    received = []
    closed = trio.Event()

    async def script(stream):
        received.append(await stream.receive_some(4096))
        closed.set()

    upstream = await scripted_upstream(script)
    with pytest.raises(ports.UpstreamError) as raised:
        await client.exchange(
            upstream,
            REQUEST,
            reuse_connection=False,
            may_send=lambda: False,
        )
    assert raised.value.not_run
    assert raised.value.code == ports.UPSTREAM_WITHDRAWN
    with trio.fail_after(2):
        await closed.wait()
    assert received == [b""]


def script_sending_endless(start, part):
    """Sends a start and then a part again and again until it is closed."""

    async def script(stream):
        await receive_head(stream)
        await stream.send_all(start)
        while True:
            await stream.send_all(part)

    return script


HEAD = b"HTTP/1.1 200 OK\r\nId: 7\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_ANSWERS = {
    "status line": (b"HTTP/1.1 200 ", b"O" * 60_000),
    "header name": (HEAD, b"x" * 60_000),
    "header value": (HEAD + b"X: ", b"x" * 60_000),
    "headers": (HEAD, b"X: y\r\n" * 9_000),
    "chunk extension": (CHUNKED + b"4;", b"x" * 60_000),
    "trailer": (CHUNKED + b"0\r\nX: ", b"x" * 60_000),
    "line breaks": (b"\r\n", b"\r\n" * 30_000),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "late answers": (b"", OTHER_ANSWER),
    "body": (HEAD + b"\r\n", b"x" * 60_000),
    "chunked body": (CHUNKED, b"ea60\r\n" + b"x" * 60_000 + b"\r\n"),
}


@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
async def test_an_endless_answer_is_an_error(scripted_upstream, kind):
    limited = http1.Http1Client(
        support.HeaderCodec(),
        ports.NullEventLog(),
        http1.BodyBudget(1_000_000),
    )
    script = script_sending_endless(*ENDLESS_ANSWERS[kind])
    upstream = await scripted_upstream(script)
    with trio.fail_after(10), pytest.raises(ports.UpstreamError) as raised:
        await limited.exchange(upstream, REQUEST, reuse_connection=True)
    assert not raised.value.not_run
    assert limited.body_budget.used_bytes == 0


async def test_a_large_body_within_the_budget_is_returned_whole(
    scripted_upstream, client
):
    body = b"x" * 5_000_000
    chunks = b"".join(b"1\r\nx\r\n" for _ in range(1_000))
    parts = (
        CHUNKED + chunks,
        b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n",
    )
    upstream = await scripted_upstream(script_sending(*parts))
    answer = await client.exchange(upstream, REQUEST, reuse_connection=True)
    assert len(answer.body) == 5_001_000
    assert client.body_budget.used_bytes == 0


async def test_small_answers_are_received_when_the_budget_is_used_up(
    scripted_upstream, client
):
    client.body_budget.max_bytes = 0
    upstream = await scripted_upstream(script_sending(ANSWER))
    answer = await client.exchange(upstream, REQUEST, reuse_connection=True)
    assert answer.body == b"mine"


async def test_an_unreasonable_idle_timeout_is_ignored(
    scripted_upstream, client
):
    answer = ANSWER.replace(
        b"Id: 7", b"Id: 7\r\nKeep-Alive: timeout=" + b"9" * 400
    )
    upstream = await scripted_upstream(script_sending(answer))
    received = await client.exchange(upstream, REQUEST, reuse_connection=True)
    assert received.body == b"mine"
