"""Guards against bytes that are no answer and are passed on as one.

What is no answer must also be known as such at once, not at the deadline.
"""

import pytest
import trio

from guavapulley import model
from guavapulley import ports
from tests.adapters import malformed_answers

ID_HEADER = b"Id: 7\r\n"
REMAINING_HEAD = ID_HEADER + b"Content-Length: 2\r\n\r\nok"
LATE_ANSWER = b"HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: 0\r\n\r\n"
EARLIER_ANSWER = LATE_ANSWER.replace(b"6", b"7", 1)
HEADS = malformed_answers.complete_heads(ID_HEADER)


def request(method="GET"):
    return model.HttpRequest(method, "/x", headers=(("Id", "7"),))


def script_holding(*parts):
    """Sends parts and keeps the connection open, which no length would end."""

    async def script(stream):
        while await stream.receive_some(4096):
            for part in parts:
                await stream.send_all(part)

    return script


async def check_error(client, upstream, method="GET"):
    with (
        trio.fail_after(malformed_answers.AT_ONCE_S),
        pytest.raises(ports.UpstreamError) as error,
    ):
        await client.exchange(upstream, request(method), reuse_connection=True)
    assert not error.value.not_run
    assert client.body_budget.used_bytes == 0


@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize(
    "before", [b"", malformed_answers.INTERIM_ANSWER, LATE_ANSWER]
)
@pytest.mark.parametrize("line", malformed_answers.STATUS_LINES)
async def test_a_status_line_that_is_invalid_is_an_error_at_once(
    scripted_upstream, client, line, before, method
):
    answer = before + line + b"\r\n" + REMAINING_HEAD
    upstream = await scripted_upstream(script_holding(answer))
    await check_error(client, upstream, method)


@pytest.mark.parametrize("line", malformed_answers.STATUS_LINES)
async def test_an_invalid_status_line_without_a_head_is_an_error_at_once(
    scripted_upstream, client, line
):
    upstream = await scripted_upstream(script_holding(line + b"\r\n"))
    await check_error(client, upstream)


@pytest.mark.parametrize("line", malformed_answers.STATUS_LINES)
async def test_bytes_after_the_answer_are_not_the_next_answer(
    scripted_upstream, client, line
):
    surplus = line + b"\r\n" + REMAINING_HEAD
    upstream = await scripted_upstream(script_holding(EARLIER_ANSWER + surplus))
    for _ in range(2):
        answer = await client.exchange(
            upstream, request(), reuse_connection=True
        )
        assert (answer.head.status, answer.body) == (200, b"")


@pytest.mark.parametrize("status", [100, 102, 103, 199])
async def test_an_interim_answer_is_not_the_answer_to_head(
    scripted_upstream, client, status
):
    # It was passed on to the caller as the answer.
    interim = b"HTTP/1.1 %d X\r\n" % status + ID_HEADER + b"\r\n"
    upstream = await scripted_upstream(script_holding(interim + EARLIER_ANSWER))
    answer = await client.exchange(
        upstream, request("HEAD"), reuse_connection=True
    )
    assert answer.head.status == 200


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("kind", HEADS)
async def test_a_head_that_breaks_off_is_an_error_at_once(
    scripted_upstream, client, kind, method, reset
):
    # The caller got a 200 with an empty or a short body, framed as whole.
    head = HEADS[kind]
    cuts = iter(range(len(head)))

    async def script(stream):
        await stream.receive_some(4096)
        await stream.send_all(head[: next(cuts)])
        if reset:
            stream.setsockopt(*malformed_answers.RESET_ON_CLOSE)
        await stream.aclose()

    upstream = await scripted_upstream(script)
    for _ in head:
        await check_error(client, upstream, method)


@pytest.mark.parametrize("kind", HEADS)
async def test_a_head_that_breaks_off_on_a_kept_connection_is_an_error(
    scripted_upstream, client, kind
):
    head = HEADS[kind]
    cuts = iter(range(1, len(head)))

    async def script(stream):
        await stream.receive_some(4096)
        await stream.send_all(EARLIER_ANSWER)
        await stream.receive_some(4096)
        await stream.send_all(head[: next(cuts)])

    upstream = await scripted_upstream(script)
    for _ in head[1:]:
        await client.exchange(upstream, request(), reuse_connection=True)
        await check_error(client, upstream)
