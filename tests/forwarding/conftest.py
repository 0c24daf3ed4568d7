"""A forwarder with scripted upstreams on an autojump clock."""

import attrs
import pytest
import trio

from guavapulley import forwarding
from guavapulley import model
from guavapulley import ports
from guavapulley import routing


def ok(**headers):
    return model.Answer(model.AnswerHead(200, tuple(headers.items())), b"ok")


def status(code, **headers):
    return model.Answer(model.AnswerHead(code, tuple(headers.items())))


NOT_RUN_STATUSES = (408, 421, 429, 503)


class HeaderCodec:
    """Uses the headers `deadline`, `refused`, `other`, `leaving` and `pause`.

    `pause` has the seconds for which the upstream refuses requests, and
    `unreadable` the name of a header that could not be read.
    """

    def caller_metadata(self, request):
        caller_timeout_s = request.header("deadline")
        return ports.CallerMetadata(
            "id", float(caller_timeout_s) if caller_timeout_s else None, "k"
        )

    def request_headers(self, request, remaining_s, upstream):
        return (("left", f"{remaining_s:.3f}"), ("to", upstream.upstream))

    def answer_headers(self, head):
        return head.headers

    def answer_metadata(self, head):
        headers = dict(head.headers)
        return ports.AnswerMetadata(
            not_run="refused" in headers or "other" in headers,
            implies_not_run=head.status in NOT_RUN_STATUSES,
            incarnation_mismatch="other" in headers,
            leaving="leaving" in headers,
            refusal_s=float(headers["pause"]) if "pause" in headers else None,
            unreadable_headers=tuple(
                name for name in (headers.get("unreadable"),) if name
            ),
        )


class Client:
    """Simulates upstreams by scripted outcomes.

    Attributes:
        outcomes: Lists of outcomes by the name of the upstream; the last one
            repeats.
        sent: Sends as (upstream, request, time).
        cancelled: Upstreams whose exchanges were cancelled.
        reused: Whether each send could reuse a connection.
        work_s: Duration of an exchange in seconds.
        connect_s: Time before the request is sent, in seconds.
    """

    def __init__(self):
        self.outcomes, self.sent, self.cancelled = {}, [], []
        self.reused = []
        self.work_s = 0.1
        self.connect_s = 0.0

    async def exchange(self, upstream, request, *, reuse_connection, may_send):
        await trio.sleep(self.connect_s)
        if not may_send():
            raise ports.UpstreamError(
                ports.UPSTREAM_WITHDRAWN, "withdrawn", not_run=True
            )
        self.sent.append((upstream.upstream, request, trio.current_time()))
        self.reused.append(reuse_connection)
        outcomes = self.outcomes.get(upstream.upstream, [ok()])
        outcome = outcomes.pop(0) if len(outcomes) > 1 else outcomes[0]
        try:
            if outcome == "hang":
                await trio.sleep_forever()
            await trio.sleep(self.work_s)
        except trio.Cancelled:
            self.cancelled.append(upstream.upstream)
            raise
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


BROKEN = ports.UpstreamError(ports.UPSTREAM_BROKEN, "broken", not_run=False)
UNREACHED = ports.UpstreamError(
    ports.UPSTREAM_NOT_REACHED, "refused", not_run=True
)


def make_record(name, domain="pb-1", **changes):
    record = model.UpstreamRecord(
        name,
        "stock",
        model.NodeAddress(name, 80),
        domain.split("-")[0],
        domain,
        3,
        0,
    )
    return attrs.evolve(record, **changes)


ROUTE = model.Route(
    "r",
    "shop",
    "/",
    model.Repeatability.IDEMPOTENT,
    1.0,
    0.4,
    1,
    (model.Destination("stock"),),
    max_attempts=2,
)


class Harness:
    """A forwarder with its client and its fleet state."""

    def __init__(self):
        self.client = Client()
        events = ports.NullEventLog()
        self.registry = forwarding.UpstreamRegistry(
            forwarding.ForwardingSettings(), "edge-1", events
        )
        self.forwarder = forwarding.Forwarder(
            self.registry,
            self.client,
            HeaderCodec(),
            routing.Location("pb", "pb-1"),
            events,
            ports.NullMetrics(),
        )

    def apply_state(self, *upstreams, route=ROUTE, evacuated=()):
        self.forwarder.apply_state(
            model.FleetState(
                1,
                model.RoutingTable(
                    1,
                    (
                        route,
                        attrs.evolve(
                            route,
                            name="once",
                            path_prefix="/once/",
                            repeatability=model.Repeatability.ONCE,
                        ),
                    ),
                    (model.ServicePolicy("stock"),),
                ),
                evacuated,
                upstreams,
            )
        )

    async def send_request(self, path="/x", host="shop", deadline=None):
        headers = [("host", host)]
        if deadline is not None:
            headers.append(("deadline", str(deadline)))
        return await self.forwarder.answer(
            model.HttpRequest("GET", path, "", tuple(headers), raw_path=path)
        )

    def sent_to(self):
        return [name for name, _, _ in self.client.sent]


@pytest.fixture
def harness(autojump_clock):
    return Harness()


@attrs.define
class Recorder:
    """An event log that keeps events as (event, fields)."""

    recorded: list = attrs.field(factory=list)

    def write(self, event, **fields):
        self.recorded.append((event, fields))


@pytest.fixture
def recorder(harness):
    event_log = Recorder()
    harness.forwarder.reporter.events = event_log
    upstream_recorder = harness.forwarder.upstream_recorder
    upstream_recorder.events = event_log
    upstream_recorder.unreadable_events.events = event_log
    return event_log
