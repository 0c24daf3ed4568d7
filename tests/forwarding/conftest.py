"""A forwarder over scripted upstreams on the paused clock."""

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


class Dialect:
    """Headers `deadline`, `refused` and `other`."""

    def caller_facts(self, request):
        wait = request.header("deadline")
        return ports.CallerFacts("id", float(wait) if wait else None, "k")

    def request_headers(self, request, remaining_s, upstream):
        return (("left", f"{remaining_s:.3f}"), ("to", upstream.upstream))

    def answer_headers(self, head):
        return head.headers

    def answer_facts(self, head):
        found = dict(head.headers)
        return ports.AnswerFacts(
            not_run="refused" in found or "other" in found,
            other_incarnation="other" in found,
        )


class Client:
    """Upstreams by name; each is a list of outcomes, the last one repeats."""

    def __init__(self):
        self.outcomes, self.sent, self.cancelled = {}, [], []
        self.reused = []
        self.work_s = 0.1

    async def exchange(self, upstream, request, *, reuse):
        self.sent.append((upstream.upstream, request, trio.current_time()))
        self.reused.append(reuse)
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


def upstream(name, domain="pb-1", **changes):
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


class World:
    """A forwarder with its client and the state that it follows."""

    def __init__(self):
        self.client = Client()
        events = ports.NullEventLog()
        self.upstreams = forwarding.Upstreams(
            forwarding.ForwardingSettings(), "edge-1", events
        )
        self.forwarder = forwarding.Forwarder(
            self.upstreams,
            self.client,
            Dialect(),
            routing.Location("pb", "pb-1"),
            events,
            ports.NullMetrics(),
        )

    def follow(self, *upstreams, route=ROUTE, evacuated=()):
        self.forwarder.follow(
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

    async def ask(self, path="/x", host="shop", deadline=None):
        headers = [("host", host)]
        if deadline is not None:
            headers.append(("deadline", str(deadline)))
        return await self.forwarder.answer(
            model.HttpRequest("GET", path, "", tuple(headers), raw_path=path)
        )

    def sent_to(self):
        return [name for name, _, _ in self.client.sent]


@pytest.fixture
def world(autojump_clock):
    return World()


@attrs.define
class Recorder:
    """Keeps events."""

    found: list = attrs.field(factory=list)

    def write(self, event, **fields):
        self.found.append((event, fields))


@pytest.fixture
def recorder(world):
    kept = Recorder()
    world.forwarder.events = world.forwarder.reports.events = kept
    return kept
