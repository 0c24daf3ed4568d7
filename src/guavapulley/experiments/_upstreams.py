"""Models of upstreams behind the exchange port, on the runtime's clock."""

import collections
from collections.abc import Callable
import random

import attrs
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.experiments import _ledger
from guavapulley.experiments import _patterns
from guavapulley.experiments import _withdrawals

# A connection to an upstream that is down fails after this time.
CONNECT_TIMEOUT_S = 0.5
# The speed of a machine that upstreams share changes at this interval.
NOISE_INTERVAL_S = 0.6
# Distribution of the work of a request, relative to the mean.
WORK_STANDARD_DEVIATION = 0.15
TAIL_FRACTION, TAIL_FACTOR = 0.03, 7.0


@attrs.define(eq=False)
class ModelUpstream:
    """Model of one upstream.

    Attributes:
        record: Record that it announces.
        service_model: Model of its service.
        rng: Generator of its random numbers.
        slow_factor: Factor by which a disturbance makes its work longer.
        failure_fraction: Fraction of its requests that fail.
        down: Whether it answers no request.
        leaving: Whether all its answers say that it leaves.
        refusal_s: Seconds for which it refuses requests in each answer; 0 if it
            serves them.
        running: Number of requests that hold a slot.
        started_requests: Number of requests on which it has started to work.
        waiting: Events of the requests that wait for a slot, oldest first.
        warm_objects: Keys of its warm objects, least recently used first.
    """

    record: model.UpstreamRecord
    service_model: _patterns.ServiceModel
    rng: random.Random
    slow_factor: float = 1.0
    failure_fraction: float = 0.0
    down: bool = False
    leaving: bool = False
    refusal_s: float = 0.0
    running: int = 0
    started_requests: int = 0
    waiting: collections.deque[trio.Event] = attrs.field(
        factory=collections.deque
    )
    warm_objects: dict[str, None] = attrs.field(factory=dict)

    async def serve(self, key: str, work_factor: float) -> int:
        """Works on a request; returns the HTTP status.

        Args:
            key: Key of the requested object.
            work_factor: Work of the request relative to the mean.
        """
        if self.refusal_s or len(self.waiting) >= self.service_model.max_queued:
            return 503
        if self.running >= self.service_model.slots:
            slot_granted = trio.Event()
            self.waiting.append(slot_granted)
            try:
                await slot_granted.wait()
            except trio.Cancelled:
                if slot_granted.is_set():
                    self._release_slot()
                else:
                    self.waiting.remove(slot_granted)
                raise
        else:
            self.running += 1
        try:
            return await self._work(key, work_factor)
        finally:
            self._release_slot()

    def _release_slot(self) -> None:
        """Passes a slot to the next request that waits, or frees it."""
        if self.waiting:
            self.waiting.popleft().set()
        else:
            self.running -= 1

    async def _work(self, key: str, work_factor: float) -> int:
        self.started_requests += 1
        cache_factor = (
            self.service_model.warm_factor if key in self.warm_objects else 1.0
        )
        work_s = self.service_model.cold_work_s * work_factor * cache_factor
        await trio.sleep(work_s * self.slow_factor * self.noise_factor())
        self.warm_objects.pop(key, None)
        self.warm_objects[key] = None
        if len(self.warm_objects) > self.service_model.max_warm_objects:
            del self.warm_objects[next(iter(self.warm_objects))]
        return 500 if self.rng.random() < self.failure_fraction else 200

    def noise_factor(self) -> float:
        """Returns the factor by which other load now makes work longer."""
        interval = int(trio.current_time() / NOISE_INTERVAL_S)
        random_value = random.Random(
            f"{self.record.upstream}/{interval}"
        ).random()
        noisy = random_value < self.service_model.noise_fraction
        return self.service_model.noise_factor if noisy else 1.0


def draw_work_factor(rng: random.Random) -> float:
    """Returns a random work relative to the mean, with a tail of long ones."""
    factor = max(0.3, rng.gauss(1.0, WORK_STANDARD_DEVIATION))
    return factor * (TAIL_FACTOR if rng.random() < TAIL_FRACTION else 1.0)


class ModelClient:
    """Sends requests of one entry to the models (`ports.ExchangeClient`).

    Args:
        upstreams: Models by name.
        pattern: Load pattern with the delays.
        domain: Failure domain of the entry.
        ledger: Records the number of exchanges.
    """

    def __init__(
        self,
        upstreams: dict[str, ModelUpstream],
        pattern: _patterns.LoadPattern,
        domain: str,
        ledger: _ledger.Ledger,
    ) -> None:
        self.upstreams = upstreams
        self.pattern = pattern
        self.domain = domain
        self.ledger = ledger
        self.checker = _withdrawals.WithdrawalChecker(ledger.violations)
        self.delays_s = {
            _ledger.Distance.SAME_DOMAIN: 0.0,
            _ledger.Distance.OTHER_DOMAIN: pattern.domain_delay_s,
            _ledger.Distance.OTHER_REGION: pattern.region_delay_s,
        }

    def _distance(self, upstream: model.UpstreamRecord) -> _ledger.Distance:
        if upstream.failure_domain == self.domain:
            return _ledger.Distance.SAME_DOMAIN
        if upstream.region == self.pattern.regions[self.domain]:
            return _ledger.Distance.OTHER_DOMAIN
        return _ledger.Distance.OTHER_REGION

    async def exchange(
        self,
        upstream: model.UpstreamRecord,
        request: model.HttpRequest,
        *,
        reuse_connection: bool,
        may_send: Callable[[], bool] = lambda: True,
    ) -> model.Answer:
        """Sends a request to a model; see `ports.ExchangeClient`."""
        target = self.upstreams[upstream.upstream]
        if target.down:
            await trio.sleep(CONNECT_TIMEOUT_S)
            raise ports.UpstreamError(
                ports.UPSTREAM_NOT_REACHED, "the upstream is down", not_run=True
            )
        distance = self._distance(upstream)
        self.ledger.exchanges[distance] += 1
        delay_s = self.delays_s[distance]
        await trio.sleep(delay_s)
        if not may_send():
            raise ports.UpstreamError(
                ports.UPSTREAM_WITHDRAWN, "it withdrew", not_run=True
            )
        self.checker.record_arrival(
            upstream, float(request.header("sent-at") or 0)
        )
        status = await target.serve(
            request.header("key") or "", float(request.header("work") or 1)
        )
        await trio.sleep(delay_s)
        load = f"{target.running},{len(target.waiting)},{upstream.slots}"
        headers = [("load", load), ("slowdown", str(target.noise_factor()))]
        if status == 503:
            headers.append(("not-run", "1"))
        if target.leaving:
            headers.append(("leaving", "1"))
            self.checker.record_leaving(upstream)
        if status == 503 and target.refusal_s:
            headers.append(("refusal", str(target.refusal_s)))
            self.checker.record_refusal(upstream, target.refusal_s)
        return model.Answer(model.AnswerHead(status, tuple(headers)))


class ModelHeaderCodec:
    """Header codec of callers, entries and models (`ports.HeaderCodec`)."""

    def caller_metadata(
        self, request: model.HttpRequest
    ) -> ports.CallerMetadata:
        """See `ports.HeaderCodec`."""
        return ports.CallerMetadata(
            request.header("id") or "",
            float(request.header("caller-timeout") or 0),
            request.header("key"),
        )

    def request_headers(
        self,
        request: model.HttpRequest,
        remaining_s: float,
        upstream: model.UpstreamRecord,
    ) -> model.Headers:
        """See `ports.HeaderCodec`."""
        return request.headers

    def answer_headers(self, head: model.AnswerHead) -> model.Headers:
        """See `ports.HeaderCodec`."""
        return head.headers

    def answer_metadata(self, head: model.AnswerHead) -> ports.AnswerMetadata:
        """See `ports.HeaderCodec`."""
        headers = dict(head.headers)
        running, queued, slots = (
            int(number) for number in headers["load"].split(",")
        )
        return ports.AnswerMetadata(
            not_run="not-run" in headers,
            load=ports.LoadSample(
                running, queued, slots, float(headers["slowdown"])
            ),
            leaving="leaving" in headers,
            refusal_s=float(headers["refusal"])
            if "refusal" in headers
            else None,
        )
