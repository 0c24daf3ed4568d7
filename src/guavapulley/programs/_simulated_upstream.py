"""Simulated upstream for demonstrations and tests."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import functools

import attrs
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import http

RENEWAL_INTERVAL_S = 1.0
# Status of an entry's answer to a renewal by an upstream without announcement.
NOT_ANNOUNCED_STATUS = 404
CHUNK_BYTES = 65_536
REQUEST_ID = "Guavapulley-Request-Id"
IDEMPOTENCY_KEY = "Guavapulley-Idempotency-Key"

SHED = errors.register_code(
    "SHED", "The simulated upstream has too many requests waiting."
)


@attrs.frozen
class SimulatedUpstreamSettings:
    """Settings of a simulated upstream.

    Attributes:
        record: Announced record; port 0 selects a free port.
        entries: HTTP addresses of entries.
        service_time_s: Time that a request takes.
        answer_bytes: Size of the body of an answer.
        max_queued: Maximum number of requests that wait for a slot; more are
            shed.
        token: Bearer token for the entries.
        leave_grace_s: Time for which it still serves after it has announced
            that it leaves, because not every entry learns that at once.
    """

    record: model.UpstreamRecord
    entries: tuple[model.NodeAddress, ...] = ()
    service_time_s: float = 0.01
    answer_bytes: int = 100
    max_queued: int = 1_000
    token: str = ""
    leave_grace_s: float = 3.0


class SimulatedUpstream:
    """`ports.HttpHandler` of a simulated upstream.

    Attributes:
        record: Announced record.
        slowdown_factor: Factor by which the service time is multiplied.
        is_renewing: Whether it renews its announcement with a load report.
        executions: Number of executions by idempotency key.
        served: Number of executed requests.
        in_flight: Number of requests in execution.
        queued: Number of requests that wait for a slot.
        left_at_s: Time on trio's clock at which it announced that it leaves;
            None before.
        last_arrival_s: Time on trio's clock at which the last request arrived.
    """

    def __init__(self, settings: SimulatedUpstreamSettings) -> None:
        self.settings = settings
        self.record = settings.record
        self.slots = trio.Semaphore(settings.record.slots)
        self.slowdown_factor = 1.0
        self.is_renewing = True
        self.executions: collections.Counter[str] = collections.Counter()
        self.served = 0
        self.in_flight = 0
        self.queued = 0
        self.left_at_s: float | None = None
        self.last_arrival_s = 0.0

    async def handle(
        self, request: model.HttpRequest, reply: ports.ReplyWriter
    ) -> None:
        """Executes a request in a slot; see `ports.HttpHandler`."""
        self.last_arrival_s = trio.current_time()
        if self.queued >= self.settings.max_queued:
            raise http.HttpError(SHED, "too many requests wait")
        self.queued += 1
        try:
            await self.slots.acquire()
        finally:
            self.queued -= 1
        self.in_flight += 1
        try:
            await self._run(request, reply)
        finally:
            self.in_flight -= 1
            self.slots.release()

    async def _run(
        self, request: model.HttpRequest, reply: ports.ReplyWriter
    ) -> None:
        self.served += 1
        key = request.header(IDEMPOTENCY_KEY)
        if key is not None:
            self.executions[key] += 1
        await trio.sleep(self.settings.service_time_s * self.slowdown_factor)
        remaining_bytes = self.settings.answer_bytes
        headers: model.Headers = (("Content-Type", "text/plain"),)
        request_id = request.header(REQUEST_ID)
        if request_id is not None:
            headers = (*headers, (REQUEST_ID, request_id))
        await reply.start(model.AnswerHead(200, headers, remaining_bytes))
        while remaining_bytes > 0:
            await reply.write(b"x" * min(remaining_bytes, CHUNK_BYTES))
            remaining_bytes -= CHUNK_BYTES

    def load(self) -> model.LoadReport:
        """Returns the current load report."""
        return model.LoadReport(self.in_flight, self.queued)


async def run_simulated_upstream(
    settings: SimulatedUpstreamSettings,
    events: ports.EventLog,
    leaving: trio.Event | None = None,
    task_status: trio.TaskStatus[SimulatedUpstream] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Runs a simulated upstream until it is to leave or is cancelled.

    Args:
        settings: Settings of the upstream.
        events: Event log for failed calls of entries.
        leaving: Set when the upstream is to leave, finish its requests and
            stop; None for never.
        task_status: Started with the upstream when it accepts connections.
    """
    upstream = SimulatedUpstream(settings)
    leaving = trio.Event() if leaving is None else leaving
    limits = http.HttpLimits(workers=2 * settings.record.slots + 4)
    async with trio.open_nursery() as nursery:
        serve = functools.partial(
            http.serve_http,
            settings.record.address,
            upstream,
            events,
            limits=limits,
        )
        server = await nursery.start(serve)
        upstream.record = attrs.evolve(settings.record, address=server.address)
        api = http.EntryApi(settings.entries, settings.token)
        task_status.started(upstream)
        if settings.entries:
            await _announce_until_leaving(leaving, upstream, api, events)
        else:
            await leaving.wait()
        upstream.left_at_s = trio.current_time()
        await trio.sleep(settings.leave_grace_s)
        await server.stop()
        api.close()
        nursery.cancel_scope.cancel()


async def _announce_until_leaving(
    leaving: trio.Event,
    upstream: SimulatedUpstream,
    api: http.EntryApi,
    events: ports.EventLog,
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_announce_and_renew, upstream, api, events)
        await leaving.wait()
        nursery.cancel_scope.cancel()
    await _call_entry(functools.partial(api.leave, upstream.record), events)


async def _announce_and_renew(
    upstream: SimulatedUpstream, api: http.EntryApi, events: ports.EventLog
) -> None:
    is_announced = False
    while True:
        started_at_s = trio.current_time()
        sequence = upstream.record.sequence + 1
        upstream.record = attrs.evolve(upstream.record, sequence=sequence)
        record, load = upstream.record, upstream.load()
        if not is_announced:
            call = functools.partial(
                api.announce, attrs.evolve(record, load=load)
            )
            is_announced = await _call_entry(call, events)
        elif upstream.is_renewing:
            call = functools.partial(api.renew, record, load)
            is_announced = await _call_entry(call, events)
        await trio.sleep_until(started_at_s + RENEWAL_INTERVAL_S)


async def _call_entry(
    call: Callable[[], Awaitable[None]], events: ports.EventLog
) -> bool:
    """Calls an entry and returns whether it has the announcement."""
    try:
        await call()
    except http.ApiError as error:
        events.write("simulated:call_failed", reason=error.message)
        return "status" in error.details and (
            error.details["status"] != NOT_ANNOUNCED_STATUS
        )
    return True
