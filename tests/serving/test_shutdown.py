"""Guards against requests that are aborted when an entry stops."""

import collections
import time

import pytest
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley import serving
from guavapulley.adapters import http
from guavapulley.adapters.http import _cheroot

CALLERS = 20
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class Handler:
    def __init__(self):
        self.delays_s = [0.0, 0.002, 0.01, 0.3]
        self.count = 0

    async def handle(self, request, reply):
        self.count += 1
        await trio.sleep(self.delays_s[self.count % len(self.delays_s)])
        await reply.start(model.AnswerHead(200, (), 4))
        await reply.write(b"done")


class Member:
    def __init__(self):
        self.states = []

    def set_state(self, state):
        self.states.append(state)


async def read_reply(stream):
    data = b""
    while not data.endswith(b"done"):
        chunk = await stream.receive_some()
        if not chunk:
            return data
        data += chunk
    return data


async def call_until_refused(address, results, pause_s):
    """Sends requests in sequence and honours `Connection: close`."""
    while True:
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
        except OSError:
            results["refused"] += 1
            return
        async with stream:
            keep_alive = True
            while keep_alive:
                await trio.sleep(pause_s)
                try:
                    await stream.send_all(REQUEST)
                    reply = await read_reply(stream)
                except trio.BrokenResourceError:
                    reply = b""
                complete = reply.endswith(b"done")
                results["whole" if complete else "cut"] += 1
                keep_alive = complete and b"Connection: close" not in reply


@pytest.mark.parametrize("pause_s", [0.0, 0.03])
async def test_no_request_is_aborted_while_callers_continue(pause_s):
    results = collections.Counter()
    member, handler = Member(), Handler()
    events = ports.NullEventLog()
    limits = http.HttpLimits(workers=CALLERS + 4)
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            server = await nursery.start(
                lambda task_status: http.serve_http(
                    model.NodeAddress("127.0.0.1", 0),
                    handler,
                    events,
                    limits=limits,
                    task_status=task_status,
                )
            )
            for _ in range(CALLERS):
                nursery.start_soon(
                    call_until_refused, server.address, results, pause_s
                )
            await trio.sleep(0.3)
            await serving.shut_down(
                member, server, events, lookup_lifetime_s=0.2, grace_s=0.1
            )
    assert member.states == [model.EntryState.LEAVING]
    assert results["refused"] == CALLERS
    assert results["cut"] == 0
    assert results["whole"] == handler.count > CALLERS


async def test_no_request_is_aborted_when_a_pause_follows_the_last_accept(
    monkeypatch,
):
    """The scheduler may suspend the thread between accept and close."""
    waiting = _cheroot.CherootServer._accept_pending

    def waiting_then_pausing(server):
        yield from waiting(server)
        time.sleep(0.2)

    monkeypatch.setattr(
        _cheroot.CherootServer, "_accept_pending", waiting_then_pausing
    )
    await test_no_request_is_aborted_while_callers_continue(0.01)
