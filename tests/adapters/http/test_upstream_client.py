"""Guards against answers that are truncated or belong to other requests.

Also guards against requests that are reported as not run although they may have
run.
"""

import pytest
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import http

FIRST = model.SteeredRequest("r1", "s", "GET", "/a?b=%2F")
SECOND = model.SteeredRequest("r2", "s", "GET", "/a")


def answer_head(request_id, length):
    return (
        f"HTTP/1.1 200 OK\r\nGuavapulley-Request-Id: {request_id}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


async def fetch(client, record, request=FIRST, **options):
    options = {"timeout_s": 5.0, **options}
    answer = await client.send(record, request, **options)
    try:
        return b"".join([chunk async for chunk in answer.chunks()])
    finally:
        await answer.aclose()


async def truncated(server, stream):
    await server.receive(stream)
    await stream.send_all(answer_head("r1", 100) + b"part")


async def truncated_large(server, stream):
    await server.receive(stream)
    await stream.send_all(answer_head("r1", 1_000_000) + b"part")


async def truncated_chunked(server, stream):
    await server.receive(stream)
    await stream.send_all(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        b"Guavapulley-Request-Id: r1\r\n\r\n4\r\npart\r\n"
    )


async def without_length(server, stream):
    await server.receive(stream)
    await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\npart")


async def wrong_request_id(server, stream):
    await server.receive(stream)
    await stream.send_all(answer_head("other", 2) + b"ok")


async def closed_before_head(server, stream):
    await server.receive(stream)


async def malformed(server, stream):
    await server.receive(stream)
    await stream.send_all(b"nonsense\r\n\r\n")


@pytest.mark.parametrize(
    ("script", "code"),
    [
        (truncated, ports.UPSTREAM_BROKEN),
        (truncated_large, ports.UPSTREAM_BROKEN),
        (truncated_chunked, ports.UPSTREAM_BROKEN),
        (without_length, ports.UPSTREAM_BROKEN),
        (closed_before_head, ports.UPSTREAM_BROKEN),
        (malformed, ports.UPSTREAM_BROKEN),
        (wrong_request_id, ports.UPSTREAM_WRONG_ANSWER),
    ],
)
async def test_incomplete_or_wrong_answer_is_an_error(
    raw_upstream, script, code
):
    client = http.UrllibUpstreamClient()
    async with raw_upstream(script) as (_, record):
        with pytest.raises(ports.UpstreamError) as raised:
            await fetch(client, record)
    assert raised.value.code == code
    assert not raised.value.not_run
    assert not client.pool.open_counts


async def echo(server, stream):
    while request := await server.receive(stream):
        request_id = b"r1" if b"Id: r1" in request else b"r2"
        await stream.send_all(answer_head(request_id.decode(), 2) + request_id)


async def test_complete_answers_share_a_connection(raw_upstream):
    client = http.UrllibUpstreamClient()
    async with raw_upstream(echo) as (server, record):
        assert await fetch(client, record) == b"r1"
        assert await fetch(client, record, SECOND) == b"r2"
        await fetch(client, record, SECOND, new_connection=True)
        client.close()
    assert server.connections == 2
    assert server.requests[0].startswith(b"GET /a?b=%2F HTTP/1.1\r\n")
    assert b"Guavapulley-Deadline-Ms: 5000\r\n" in server.requests[0]


async def test_surplus_answer_is_not_returned_for_the_next_request(
    raw_upstream,
):
    async def answer_twice(server, stream):
        request = await server.receive(stream)
        if b"Id: r1" in request:
            await stream.send_all(
                answer_head("r1", 2) + b"r1" + answer_head("r1", 2) + b"r1"
            )
            await server.receive(stream)
        else:
            await stream.send_all(answer_head("r2", 2) + b"r2")

    client = http.UrllibUpstreamClient()
    async with raw_upstream(answer_twice) as (server, record):
        await fetch(client, record)
        assert await fetch(client, record, SECOND) == b"r2"
    assert server.connections == 2


async def test_upstream_without_echo_gets_a_new_connection_each_time(
    raw_upstream,
):
    async def answer_without_id(server, stream):
        while await server.receive(stream):
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
            )

    client = http.UrllibUpstreamClient()
    async with raw_upstream(answer_without_id) as (server, record):
        assert await fetch(client, record) == b"ok"
        assert await fetch(client, record, SECOND) == b"ok"
    assert server.connections == 2


async def test_request_on_refused_connection_has_certainly_not_run(free_port):
    record = model.UpstreamRecord(
        "u", "s", model.NodeAddress("127.0.0.1", free_port()), "", "", 1, 1
    )
    with pytest.raises(ports.UpstreamError) as raised:
        await fetch(http.UrllibUpstreamClient(), record)
    assert raised.value.code == ports.UPSTREAM_NOT_REACHED
    assert raised.value.not_run


async def test_request_with_unsendable_header_has_certainly_not_run(
    raw_upstream,
):
    request = model.SteeredRequest("r1", "s", "GET", "/", (("X", "a\r\nB: c"),))
    client = http.UrllibUpstreamClient()
    async with raw_upstream(echo) as (server, record):
        with pytest.raises(ports.UpstreamError) as raised:
            await fetch(client, record, request)
    assert raised.value.not_run
    assert not server.requests


async def test_connections_are_limited_to_the_share(raw_upstream):
    async def never_answer(server, stream):
        await server.receive(stream)
        await trio.sleep_forever()

    client = http.UrllibUpstreamClient(connection_limit=lambda record: 1)
    async with (
        raw_upstream(never_answer) as (server, record),
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(fetch, client, record)
        await server.received.wait()
        with pytest.raises(ports.UpstreamError) as raised:
            await fetch(client, record, SECOND)
        nursery.cancel_scope.cancel()
    assert raised.value.not_run
    assert server.connections == 1


@pytest.mark.parametrize("times_out", [True, False])
async def test_connection_closes_when_a_slow_request_ends(
    raw_upstream, times_out
):
    async def wait_for_close(server, stream):
        await server.receive(stream)
        # Returns when the client closes.
        await server.receive(stream)

    client = http.UrllibUpstreamClient()
    async with raw_upstream(wait_for_close) as (server, record):
        if times_out:
            with pytest.raises(ports.UpstreamError) as raised:
                await fetch(client, record, timeout_s=0.1)
            assert not raised.value.not_run
        else:
            with trio.move_on_after(0.1):
                await fetch(client, record)
        with trio.fail_after(2):
            await server.closed.wait()
            # The thread that waited for the answer has to end as well.
            for _ in range(client.limiter.total_tokens):
                await client.limiter.acquire_on_behalf_of(object())
    assert not client.pool.open_counts


async def test_chunks_are_returned_before_the_body_is_complete(raw_upstream):
    proceed = trio.Event()

    async def stream_chunks(server, stream):
        await server.receive(stream)
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            b"Guavapulley-Request-Id: r1\r\n\r\n3\r\none\r\n"
        )
        await proceed.wait()
        await stream.send_all(b"3\r\ntwo\r\n0\r\n\r\n")
        await server.receive(stream)

    client = http.UrllibUpstreamClient()
    async with raw_upstream(stream_chunks) as (_, record):
        answer = await client.send(record, FIRST, timeout_s=5)
        chunks = answer.chunks()
        with trio.fail_after(2):
            assert await anext(chunks) == b"one"
            proceed.set()
            assert await anext(chunks) == b"two"
            with pytest.raises(StopAsyncIteration):
                await anext(chunks)
        assert client.pool.idle[record.address]
