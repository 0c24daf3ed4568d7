"""Servers and upstreams on loopback for the tests of the adapter."""

import contextlib

import pytest
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import http1


class HeaderCodec:
    """Codec whose metadata is the request ID in the header `Id`."""

    def caller_metadata(self, request):
        return ports.CallerMetadata(request.header("id") or "")

    def answer_metadata(self, head):
        headers = {name.lower(): value for name, value in head.headers}
        return ports.AnswerMetadata(request_id=headers.get("id"))


class DelayingHandler:
    """Answers each request after the milliseconds given by its path."""

    def __init__(self):
        self.requests, self.finished, self.cancelled = [], [], []
        self.changed = trio.Event()

    def notify(self):
        self.changed.set()
        self.changed = trio.Event()

    async def wait_for_count(self, paths, count):
        while len(paths) < count:
            await self.changed.wait()

    def may_overlap(self, request):
        return request.method == "GET"

    async def answer(self, request):
        self.requests.append(request)
        try:
            await trio.sleep(int(request.path.strip("/") or 0) / 1000)
        except trio.Cancelled:
            self.cancelled.append(request.path)
            self.notify()
            raise
        self.finished.append(request.path)
        self.notify()
        head = model.AnswerHead(200, (("Id", request.header("id") or ""),))
        return model.Answer(head, request.path.encode())


@pytest.fixture
def handler():
    return DelayingHandler()


@pytest.fixture
def serve(nursery, free_port):
    """Returns a function that starts a server and returns its address."""

    async def start(handler, limits=model.CallerLimits, state=None):
        address = model.NodeAddress("127.0.0.1", free_port())

        async def run(task_status):
            await http1.serve_http1(
                address,
                handler,
                limits,
                ports.NullEventLog(),
                state,
                task_status=task_status,
            )

        await nursery.start(run)
        return address

    return start


@pytest.fixture
def scripted_upstream(nursery):
    """Returns a function that starts a scripted upstream."""

    async def start(script):
        """Runs `script(stream)` for each connection; returns the record."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")

        async def run_script(stream):
            with contextlib.suppress(trio.BrokenResourceError):
                await script(stream)

        nursery.start_soon(trio.serve_listeners, run_script, listeners)
        _, port = listeners[0].socket.getsockname()
        return model.UpstreamRecord(
            "u1", "stock", model.NodeAddress("127.0.0.1", port), "r", "d", 3, 0
        )

    return start


@pytest.fixture
def client():
    return http1.Http1Client(HeaderCodec(), ports.NullEventLog())
