"""Guards against answers that nobody asked for after an offer to upgrade.

A caller that could also speak another protocol says so in the headers of a
request. The server ignores that (RFC 9110, section 7.8).
"""

import pytest
import trio

OFFER = (
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    b"HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n"
)
NEXT_REQUEST = b"GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
HIDDEN_REQUEST = b"GET /5 HTTP/1.1\r\nHost: h\r\n\r\n"
BODIES = {
    "none": (b"", b""),
    "length": (
        b"Content-Length: %d\r\n" % len(HIDDEN_REQUEST),
        HIDDEN_REQUEST,
    ),
    "chunked": (
        b"Transfer-Encoding: chunked\r\n",
        b"%x\r\n%s\r\n0\r\n\r\n" % (len(HIDDEN_REQUEST), HIDDEN_REQUEST),
    ),
}


def offering_request(kind):
    header, body = BODIES[kind]
    method = b"POST" if body else b"GET"
    head = method + b" /1 HTTP/1.1\r\nHost: h\r\n" + OFFER + header + b"\r\n"
    return head + body


async def receive_all(stream):
    data = b""
    with trio.fail_after(30):
        while received := await stream.receive_some(4096):
            data += received
    return data


def statuses(data):
    return [line[9:12] for line in data.split(b"\r\n") if b"HTTP/1.1 " in line]


async def connect(address):
    return await trio.open_tcp_stream(address.host, address.port)


@pytest.mark.parametrize("kind", BODIES)
async def test_the_next_request_on_the_connection_gets_its_own_answer(
    serve, handler, kind
):
    stream = await connect(await serve(handler))
    await stream.send_all(offering_request(kind))
    with trio.fail_after(5):
        await handler.wait_for_count(handler.finished, 1)
    await trio.sleep(0.1)
    await stream.send_all(NEXT_REQUEST)
    answers = await receive_all(stream)
    assert len(statuses(answers)) == 2
    assert b" 400 " not in answers
    assert answers.endswith(b"\r\n\r\n/3")
    assert handler.finished == ["/1", "/3"]


@pytest.mark.parametrize("kind", BODIES)
async def test_the_request_is_complete_however_it_arrives(serve, handler, kind):
    address = await serve(handler)
    data = offering_request(kind) + NEXT_REQUEST
    for split in range(1, len(data), 7):
        del handler.requests[:], handler.finished[:]
        stream = await connect(address)
        await stream.send_all(data[:split])
        await trio.sleep(0.001)
        await stream.send_all(data[split:])
        assert len(statuses(await receive_all(stream))) == 2
        bodies = {request.path: request.body for request in handler.requests}
        expected = b"" if kind == "none" else HIDDEN_REQUEST
        assert bodies == {"/1": expected, "/3": b""}


async def test_many_offers_are_answered(serve, handler):
    stream = await connect(await serve(handler))
    # More than the interpreter can nest.
    count = 1_200
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            stream.send_all, offering_request("none") * count + NEXT_REQUEST
        )
        answers = await receive_all(stream)
    assert answers.count(b"HTTP/1.1 200 ") == count + 1


async def test_a_tunnel_gets_one_answer(serve, handler):
    stream = await connect(await serve(handler))
    await stream.send_all(
        b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n" + HIDDEN_REQUEST
    )
    answers = await receive_all(stream)
    assert len(statuses(answers)) == 1
    assert b"Connection: close" in answers
    assert "/5" not in [request.path for request in handler.requests]
