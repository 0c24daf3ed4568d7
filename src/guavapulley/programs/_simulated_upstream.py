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
# An entry refuses a renewal of which it does not know the announcement.
UNKNOWN_STATUS = 404
CHUNK_BYTES = 65_536
REQUEST_ID = "Guavapulley-Request-Id"
IDEMPOTENCY_KEY = "Guavapulley-Idempotency-Key"

SHED = errors.register_code(
    "SHED", "The simulated upstream has too many requests waiting."
)


@attrs.frozen
class SimulatedUpstreamSettings:
    """What a simulated upstream is like.

    Attributes:
        record: What it announces; port 0 takes a free one.
        entries: HTTP addresses of entries.
        service_time_s: Time that a request takes.
        answer_bytes: Size of an answer.
        max_waiting: Requests that may wait for a slot; more are shed.
        token: Bearer token for the entries.
        leave_grace_s: Time for which it serves after it has left, because
            not every entry knows at once.
    """

    record: model.UpstreamRecord
    entries: tuple[model.NodeAddress, ...] = ()
    service_time_s: float = 0.01
    answer_bytes: int = 100
    max_waiting: int = 1_000
    token: str = ""
    leave_grace_s: float = 3.0


class SimulatedUpstream:
    """`ports.HttpHandler` of a simulated upstream.

    Attributes:
        record: What it announces.
        slowdown: Factor on the service time.
        reporting: Whether it sends load reports.
        executions: Requests that were run, by idempotency key.
        served: Requests that were run.
        in_flight: Requests being run.
        waiting: Requests that wait for a slot.
        left_at_s: Time at which it told the entries that it leaves.
        last_arrival_s: Time at which the last request arrived.
    """

    def __init__(self, settings: SimulatedUpstreamSettings) -> None:
        self.settings = settings
        self.record = settings.record
        self.slots = trio.Semaphore(settings.record.slots)
        self.slowdown = 1.0
        self.reporting = True
        self.executions: collections.Counter[str] = collections.Counter()
        self.served = 0
        self.in_flight = 0
        self.waiting = 0
        self.left_at_s: float | None = None
        self.last_arrival_s = 0.0

    async def handle(
        self, request: model.HttpRequest, reply: ports.ReplyWriter
    ) -> None:
        """Runs a request in one of the slots; see `ports.HttpHandler`."""
        self.last_arrival_s = trio.current_time()
        if self.waiting >= self.settings.max_waiting:
            raise http.HttpError(SHED, "too many requests wait")
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
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
        await trio.sleep(self.settings.service_time_s * self.slowdown)
        size = self.settings.answer_bytes
        headers: model.Headers = (("Content-Type", "text/plain"),)
        request_id = request.header(REQUEST_ID)
        if request_id is not None:
            headers = (*headers, (REQUEST_ID, request_id))
        await reply.start(model.AnswerHead(200, headers, size))
        while size > 0:
            await reply.write(b"x" * min(size, CHUNK_BYTES))
            size -= CHUNK_BYTES

    def load(self) -> model.LoadReport:
        """Returns the load to report."""
        return model.LoadReport(self.in_flight, self.waiting)


async def run_simulated_upstream(
    settings: SimulatedUpstreamSettings,
    events: ports.EventLog,
    leaving: trio.Event | None = None,
    task_status: trio.TaskStatus[SimulatedUpstream] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves, announces and renews until told to leave or cancelled.

    Args:
        settings: What the upstream is like.
        events: Receives failed announcements.
        leaving: Set to let the upstream leave, finish its work and stop.
        task_status: Started with the upstream when it listens.
    """
    simulated = SimulatedUpstream(settings)
    leaving = trio.Event() if leaving is None else leaving
    limits = http.HttpLimits(workers=2 * settings.record.slots + 4)
    async with trio.open_nursery() as nursery:
        serve = functools.partial(
            http.serve_http,
            settings.record.address,
            simulated,
            events,
            limits=limits,
        )
        server = await nursery.start(serve)
        simulated.record = attrs.evolve(settings.record, address=server.address)
        api = http.EntryApi(settings.entries, settings.token)
        task_status.started(simulated)
        if settings.entries:
            await _announce_until(leaving, simulated, api, events)
        else:
            await leaving.wait()
        simulated.left_at_s = trio.current_time()
        await trio.sleep(settings.leave_grace_s)
        await server.stop()
        api.close()
        nursery.cancel_scope.cancel()


async def _announce_until(
    leaving: trio.Event,
    simulated: SimulatedUpstream,
    api: http.EntryApi,
    events: ports.EventLog,
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_keep_announced, simulated, api, events)
        await leaving.wait()
        nursery.cancel_scope.cancel()
    await _reported(functools.partial(api.leave, simulated.record), events)


async def _keep_announced(
    simulated: SimulatedUpstream, api: http.EntryApi, events: ports.EventLog
) -> None:
    known = False
    while True:
        started_at_s = trio.current_time()
        sequence = simulated.record.sequence + 1
        simulated.record = attrs.evolve(simulated.record, sequence=sequence)
        record, load = simulated.record, simulated.load()
        if not known:
            call = functools.partial(
                api.announce, attrs.evolve(record, load=load)
            )
            known = await _reported(call, events)
        elif simulated.reporting:
            call = functools.partial(api.renew, record, load)
            known = await _reported(call, events)
        await trio.sleep_until(started_at_s + RENEWAL_INTERVAL_S)


async def _reported(
    call: Callable[[], Awaitable[None]], events: ports.EventLog
) -> bool:
    """Makes a call and returns whether the entry knows the upstream."""
    try:
        await call()
    except http.ApiError as error:
        events.write("simulated:call_failed", reason=error.message)
        return "status" in error.details and (
            error.details["status"] != UNKNOWN_STATUS
        )
    return True
