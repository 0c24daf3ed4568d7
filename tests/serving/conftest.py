"""In-memory implementations of the ports of request handling."""

import collections
import random

import attrs
import pytest
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley import serving

NOW_S = 1_800_000_000.0
ONCE = model.Service("orders", model.TrafficClass.ONCE, deadline_ms=8_000)
SHORT = model.Service("stock", model.TrafficClass.SHORT, deadline_ms=2_000)
BULK = model.Service("sync", model.TrafficClass.BULK, deadline_ms=60_000)


def upstream(name="u1", service="orders"):
    address = model.NodeAddress("127.0.0.1", 1)
    return model.UpstreamRecord(name, service, address, "pb", "pb-1", 3, 9)


class MemoryControl:
    """Idempotency records of the control replicas, behind a slow network.

    A message arrives even if its sender no longer waits for the reply.
    """

    def __init__(self, nursery, rng=None, loss=0.0, max_delay_s=0.02):
        self.nursery = nursery
        self.rng = rng or random.Random(1)
        self.loss = loss
        self.max_delay_s = max_delay_s
        self.records = {}
        self.calls = []

    async def call(self, function, request):
        done = trio.Event()
        replies = []
        if self.rng.random() >= self.loss / 2:
            self.nursery.start_soon(
                self._deliver, function, request, replies, done
            )
        await done.wait()
        if self.rng.random() < self.loss / 2:
            raise ports.PeerError(ports.CALL_TIMEOUT, "reply lost")
        return replies[0]

    async def _deliver(self, function, request, replies, done):
        await trio.sleep(self.rng.random() * self.max_delay_s)
        self.calls.append(request)
        replies.append(function(request))
        await trio.sleep(self.rng.random() * self.max_delay_s)
        done.set()

    def claim(self, claim):
        stored = self.records.get(claim.key)
        if stored is None:
            self.records[claim.key] = model.StoredOutcome(
                claim.key, claim.body_hash, claim.entry, claim.request_id, 1, 0
            )
            return model.ClaimReply(model.ClaimStatus.GRANTED)
        if stored.body_hash != claim.body_hash:
            return model.ClaimReply(model.ClaimStatus.KEY_REUSED)
        if (stored.request_id, stored.kind) == (
            claim.request_id,
            model.OutcomeKind.CLAIMED,
        ):
            return model.ClaimReply(model.ClaimStatus.GRANTED)
        return model.ClaimReply(model.ClaimStatus.EXISTS, stored)

    def record(self, record):
        stored = self.records.get(record.key)
        if stored is None or stored.request_id != record.request_id:
            return model.RecordReply(False)
        self.records[record.key] = attrs.evolve(
            stored, kind=record.kind, answer=record.answer
        )
        return model.RecordReply(True)

    def release(self, release):
        stored = self.records.get(release.key)
        claimed = model.OutcomeKind.CLAIMED
        if (
            stored is None
            or stored.request_id != release.request_id
            or stored.kind is not claimed
        ):
            return model.RecordReply(False)
        del self.records[release.key]
        return model.RecordReply(True)


class ControlLink:
    """`ports.ControlPlane` of one entry; fails after a crash of the entry."""

    def __init__(self, control):
        self.control = control
        self.dead = False
        self.down = False

    async def _call_control(self, function, request, timeout_s):
        if self.dead or self.down:
            raise ports.PeerError(ports.PEER_UNREACHABLE, "down")
        with trio.move_on_after(timeout_s):
            return await self.control.call(function, request)
        raise ports.PeerError(ports.CALL_TIMEOUT, "no reply")

    async def claim_key(self, request, timeout_s):
        return await self._call_control(self.control.claim, request, timeout_s)

    async def record_outcome(self, request, timeout_s):
        return await self._call_control(self.control.record, request, timeout_s)

    async def release_claim(self, request, timeout_s):
        return await self._call_control(
            self.control.release, request, timeout_s
        )

    async def outcome(self, request, timeout_s):
        read = self.control.records.get
        return await self._call_control(
            lambda r: read(r.key), request, timeout_s
        )


class MemoryAnswer:
    def __init__(self, body, truncated=False):
        self.head = model.AnswerHead(200, (), len(body))
        self.body = body
        self.truncated = truncated

    async def chunks(self):
        await trio.lowlevel.checkpoint()
        if self.truncated:
            yield self.body[:1]
            raise ports.UpstreamError(
                ports.UPSTREAM_BROKEN, "cut", not_run=False
            )
        yield self.body

    async def aclose(self):
        pass


class MemoryUpstreams:
    """`ports.UpstreamClient` that counts executions by key and request."""

    def __init__(self, faults=()):
        self.faults = collections.deque(faults)
        self.executions_by_key = collections.Counter()
        self.executions_by_request = collections.Counter()
        self.sent = 0

    async def send(self, record, request, *, timeout_s, new_connection=False):
        self.sent += 1
        fault = self.faults.popleft() if self.faults else "none"
        if fault == "refused":
            await trio.sleep(0.001)
            raise ports.UpstreamError(
                ports.UPSTREAM_NOT_REACHED, "refused", not_run=True
            )
        await trio.sleep(0.005)
        if fault == "lost":
            raise ports.UpstreamError(
                ports.UPSTREAM_BROKEN, "lost", not_run=False
            )
        self.executions_by_key[request.idempotency_key] += 1
        self.executions_by_request[request.request_id] += 1
        if fault == "hang":
            await trio.sleep_forever()
        await trio.sleep(0.05)
        if fault == "broken":
            raise ports.UpstreamError(
                ports.UPSTREAM_BROKEN, "broken", not_run=False
            )
        return MemoryAnswer(b"done " + request.body, fault == "cut")


class SequentialSteerer:
    """`serving.Steerer` that retries under the rules of the real one."""

    def __init__(self, max_attempts=3):
        self.max_attempts = max_attempts

    async def run(self, request, service, attempt):
        once = service.traffic_class is model.TrafficClass.ONCE
        for remaining_attempts in reversed(range(self.max_attempts)):
            try:
                return await attempt(upstream(service=service.name))
            except ports.UpstreamError as error:
                if not remaining_attempts or (once and not error.not_run):
                    raise
        raise AssertionError

    def explain(self, request_id):
        return None

    def in_flight(self):
        return {}

    def claims(self):
        return {}


class Registry:
    def __init__(self):
        self.dispatches = []

    def record_dispatch_result(self, name, succeeded):
        self.dispatches.append(succeeded)


class Reply:
    def __init__(self):
        self.head = None
        self.body = b""

    async def start(self, head):
        assert self.head is None
        self.head = head

    async def write(self, chunk):
        self.body += chunk


class Source:
    """Configuration source that is controlled by a test."""

    def __init__(self, *services):
        self.configuration = model.Configuration(5, services)
        self.switches = 0

    async def watch(self, request):
        if request.after >= self.configuration.revision:
            await trio.sleep(request.wait_s)
            return model.WatchReply(None, self.configuration.revision, True)
        return model.WatchReply(
            self.configuration, self.configuration.revision, True
        )

    def switch_replica(self):
        self.switches += 1


class Entry:
    """Request handling of an entry over in-memory ports."""

    def __init__(self, name, control, upstreams):
        self.link = ControlLink(control)
        self.upstreams = upstreams
        self.registry = Registry()
        self.steerer = SequentialSteerer()
        self.source = Source(ONCE, SHORT, BULK)
        events = ports.NullEventLog()
        self.watcher = serving.ConfigurationWatcher(
            name, self.source, lambda: 0, events
        )
        dispatcher = serving.Dispatcher(upstreams, self.registry, "pb", None)
        ids = iter(range(1_000_000))
        self.once = serving.OnceExecutor(
            name,
            self.link,
            self.steerer,
            dispatcher,
            lambda: NOW_S,
            lambda: f"{name}-{next(ids)}",
            events,
        )
        self.requests = serving.RequestService(
            self.watcher,
            self.steerer,
            dispatcher,
            self.once,
            serving.CallerRegionResolver("pb"),
            ports.NullMetrics(),
        )
        self.scope = trio.CancelScope()

    async def start(self, nursery):
        nursery.start_soon(self.watcher.run)
        nursery.start_soon(self.once.record_late_outcomes)
        await self.watcher.ready.wait()

    async def handle(self, request):
        """Returns the reply, or None if the entry crashed."""
        reply = Reply()
        with trio.CancelScope() as scope:
            self.scope = scope
            await self.requests.handle(request, reply)
            return reply
        return None

    def crash(self):
        """Cancels the request; no later call reaches the control replicas."""
        self.link.dead = True
        self.scope.cancel()


@pytest.fixture
def memory():
    """Provides the in-memory ports as attributes."""
    names = {
        "Entry": Entry,
        "MemoryControl": MemoryControl,
        "MemoryUpstreams": MemoryUpstreams,
        "NOW_S": NOW_S,
        "Reply": Reply,
        "Source": Source,
        "upstream": upstream,
    }
    return attrs.make_class("Memory", list(names))(*names.values())
