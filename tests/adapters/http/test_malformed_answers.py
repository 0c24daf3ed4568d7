"""Guards against bytes that are no answer and are passed on as one.

What is no answer must also be known as such at once, not at the deadline.
"""

import pytest
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import http
from tests.adapters import malformed_answers

ID_HEADER = b"Guavapulley-Request-Id: r1\r\n"
REMAINING_HEAD = ID_HEADER + b"Content-Length: 2\r\n\r\nok"
WHOLE_ANSWER = b"HTTP/1.1 200 OK\r\n" + REMAINING_HEAD
DEADLINE_S = 60.0
HEADS = malformed_answers.complete_heads(ID_HEADER)


def request(method="GET"):
    return model.SteeredRequest("r1", "s", method, "/a")


async def fetch(client, record, method="GET"):
    answer = await client.send(record, request(method), timeout_s=DEADLINE_S)
    try:
        return b"".join([chunk async for chunk in answer.chunks()])
    finally:
        await answer.aclose()


async def check_error(client, record, method="GET"):
    with (
        trio.fail_after(malformed_answers.AT_ONCE_S),
        pytest.raises(ports.UpstreamError) as error,
    ):
        await fetch(client, record, method)
    assert error.value.code == ports.UPSTREAM_BROKEN
    assert not error.value.not_run
    assert not client.pool.open_counts


def script_holding(data):
    """Sends bytes and keeps the connection open, which no length would end."""

    async def script(server, stream):
        while await server.receive(stream):
            await stream.send_all(data)

    return script


@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("before", [b"", malformed_answers.INTERIM_ANSWER])
@pytest.mark.parametrize("line", malformed_answers.STATUS_LINES)
async def test_a_status_line_that_is_invalid_is_an_error_at_once(
    raw_upstream, line, before, method
):
    script = script_holding(before + line + b"\r\n" + REMAINING_HEAD)
    async with raw_upstream(script) as (_, record):
        await check_error(http.UrllibUpstreamClient(), record, method)


@pytest.mark.parametrize("line", malformed_answers.STATUS_LINES)
async def test_an_invalid_status_line_without_a_head_is_an_error_at_once(
    raw_upstream, line
):
    async with raw_upstream(script_holding(line + b"\r\n")) as (_, record):
        await check_error(http.UrllibUpstreamClient(), record)


@pytest.mark.parametrize("line", malformed_answers.STATUS_LINES)
async def test_bytes_after_the_answer_are_not_the_next_answer(
    raw_upstream, line
):
    client = http.UrllibUpstreamClient()
    script = script_holding(WHOLE_ANSWER + line + b"\r\n" + REMAINING_HEAD)
    async with raw_upstream(script) as (_, record):
        for _ in range(2):
            assert await fetch(client, record) == b"ok"


@pytest.mark.parametrize(
    "line", [b"no header", b": y", b"X Y: z", b"X\x00: y", b" folded"]
)
async def test_a_line_that_is_no_header_is_an_error(raw_upstream, line):
    # The headers behind it were ignored.
    head = b"HTTP/1.1 200 OK\r\n" + line + b"\r\n" + REMAINING_HEAD
    async with raw_upstream(script_holding(head)) as (_, record):
        await check_error(http.UrllibUpstreamClient(), record)


async def test_a_header_on_several_lines_is_accepted(raw_upstream):
    head = b"HTTP/1.1 200 OK\r\nX: y\r\n z\r\n" + REMAINING_HEAD
    async with raw_upstream(script_holding(head)) as (_, record):
        assert await fetch(http.UrllibUpstreamClient(), record) == b"ok"


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("kind", HEADS)
async def test_a_head_that_breaks_off_is_an_error_at_once(
    raw_upstream, kind, method, reset
):
    # The caller got a 200 with an empty or a short body, framed as whole.
    head = HEADS[kind]
    cuts = iter(range(len(head)))

    async def script(server, stream):
        await server.receive(stream)
        await stream.send_all(head[: next(cuts)])
        if reset:
            stream.setsockopt(*malformed_answers.RESET_ON_CLOSE)

    client = http.UrllibUpstreamClient()
    async with raw_upstream(script) as (_, record):
        for _ in head:
            await check_error(client, record, method)


@pytest.mark.parametrize("kind", HEADS)
async def test_a_head_that_breaks_off_on_a_kept_connection_is_an_error(
    raw_upstream, kind
):
    head = HEADS[kind]
    cuts = iter(range(1, len(head)))

    async def script(server, stream):
        await server.receive(stream)
        await stream.send_all(WHOLE_ANSWER)
        await server.receive(stream)
        await stream.send_all(head[: next(cuts)])

    client = http.UrllibUpstreamClient()
    async with raw_upstream(script) as (_, record):
        for _ in head[1:]:
            assert await fetch(client, record) == b"ok"
            await check_error(client, record)
