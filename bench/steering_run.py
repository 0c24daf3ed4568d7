"""Loads on a simulated deployment, and what is measured of them."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import math
import random

import attrs
import trio
import trio.testing

from bench import steering_baselines
from bench import steering_world
from guavapulley import model
from guavapulley import ports
from guavapulley import steering

POLICIES = ("steerer", "round_robin", "least_in_flight")
CONNECT_REFUSED_S = 0.001


@attrs.frozen
class Load:
    """Poisson arrivals for one service.

    Attributes:
        service: Name of the service.
        rate: Requests per second over all regions.
        start_s: First arrival.
        end_s: Last arrival.
    """

    service: str
    rate: float
    start_s: float
    end_s: float


@attrs.define
class Sample:
    """One request of a caller; times in seconds.

    Attributes:
        arrived_s: Arrival at the entry.
        latency_s: Time until the answer; None when there was none.
        wait_s: Time in queues of the entry and the upstream.
        code: Error code, if any.
    """

    service: str
    arrived_s: float
    latency_s: float | None = None
    wait_s: float = 0.0
    code: str = ""


@attrs.define
class Result:
    """Samples and counts of one run."""

    world: steering_world.World
    samples: list[Sample] = attrs.field(factory=list)
    starts: dict[str, list[float]] = attrs.field(factory=dict)

    def of(
        self, service: str, start_s: float = 0.0, end_s: float = math.inf
    ) -> list[Sample]:
        """Returns the samples of a service that arrived in a time."""
        return [
            s
            for s in self.samples
            if s.service == service and start_s <= s.arrived_s < end_s
        ]

    def attempts(self, service: str, start_s: float, end_s: float) -> int:
        """Returns the attempts of a service that started in a time."""
        return sum(
            start_s <= started < end_s
            for name, times in self.starts.items()
            if self.world.upstreams[name].record.service == service
            for started in times
        )

    def overload(
        self, service: str, lost: Sequence[str] = ()
    ) -> tuple[int, float, float]:
        """Returns how far regions were loaded with a service.

        Args:
            service: Name of the service.
            lost: Regions that are left out.

        Returns:
            Seconds in which a region held more requests than it has slots, on
            average over the second; the highest such average and the highest
            momentary count, both as parts of the slots.
        """
        seconds, mean, peak = 0, 0.0, 0.0
        for (name, region), use in self.world.use.items():
            slots = self.world.slots(service, region)
            if name != service or region in lost:
                continue
            seconds += sum(area > slots for area in use.areas.values())
            mean = max(mean, max(use.areas.values(), default=0) / slots)
            peak = max(peak, use.peak / slots)
        return seconds, mean, peak


def quantile(values: Sequence[float], part: float) -> float:
    """Returns a quantile by the nearest rank; NaN without values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(part * len(ordered)) - 1)]


def make_policy(
    kind: str, entry: steering_world.SimEntry, seed: int
) -> steering_world.Policy:
    """Returns the policy of an entry."""
    draw = random.Random(f"{seed}/{entry.name}")
    pickers: dict[str, steering_baselines.Picker] = {
        "round_robin": steering_baselines.RoundRobin(draw),
        "least_in_flight": steering_baselines.LeastInFlight(draw),
    }
    if kind in pickers:
        return steering_baselines.Baseline(
            entry.view, entry.region, pickers[kind]
        )
    return steering.Steerer(
        entry.view,
        entry.name,
        entry.region,
        ports.NullEventLog(),
        ports.NullMetrics(),
        draw,
    )


@attrs.define
class Run:
    """One run of one policy.

    Attributes:
        deployment: Sizes.
        policy: Name of the policy.
        seed: Seed of all random numbers.
        loads: Arrivals.
        until_s: End of the run.
        script: Changes while it runs, such as failures.
        again_after_s: Callers repeat refused requests after this time; None
            for never.
        one_entry: All callers of a region use the same entry.
        lost_region_timeout_s: Time until a connection to a dead upstream
            fails; 0 means that it is refused.
    """

    deployment: steering_world.Deployment
    policy: str
    seed: int
    loads: Sequence[Load]
    until_s: float
    script: Callable[[steering_world.World], Awaitable[None]] | None = None
    again_after_s: float | None = None
    one_entry: bool = False
    lost_region_timeout_s: float = 0.0

    def execute(self) -> Result:
        """Runs on a mock clock and returns what was measured."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(self._main, clock=clock)

    async def _main(self) -> Result:
        # MockClock starts at 0, so that times are seconds of the run.
        draw = random.Random(self.seed)
        world = steering_world.World(
            self.deployment,
            draw,
            lost_region_timeout_s=self.lost_region_timeout_s,
        )
        world.build()
        for entry in world.entries.values():
            entry.policy = make_policy(self.policy, entry, self.seed)
        result = Result(world)
        with trio.move_on_after(self.until_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(world.gossip_forever)
                nursery.start_soon(world.renew_forever)
                if self.script:
                    nursery.start_soon(self.script, world)
                for load in self.loads:
                    for region in self.deployment.regions:
                        nursery.start_soon(
                            self._arrivals, nursery, result, load, region
                        )
        return result

    async def _arrivals(
        self,
        nursery: trio.Nursery,
        result: Result,
        load: Load,
        region: str,
    ) -> None:
        """Starts the requests of the callers of one region."""
        draw = random.Random(f"{self.seed}/{load.service}/{region}")
        slots = result.world.slots(load.service)
        share = result.world.slots(load.service, region) / slots
        spec = next(
            s
            for s in self.deployment.services
            if s.service.name == load.service
        )
        await trio.sleep_until(load.start_s)
        number = 0
        while True:
            await trio.sleep(draw.expovariate(load.rate * share))
            if trio.current_time() >= load.end_s:
                return
            number += 1
            request = model.SteeredRequest(
                f"{load.service}/{region}/{number}",
                load.service,
                "GET",
                "/",
                region=region,
                labels={"service": load.service, "region": region},
            )
            # Own random numbers for each request give runs that are compared
            # the same service times.
            nursery.start_soon(
                self._caller,
                result,
                request,
                spec,
                random.Random(f"{self.seed}/{request.request_id}"),
            )

    async def _caller(
        self,
        result: Result,
        request: model.SteeredRequest,
        spec: steering_world.ServiceSpec,
        draw: random.Random,
    ) -> None:
        """Sends one request and measures it.

        A caller whose request was refused without having run sends it to an
        entry of another region.
        """
        sample = Sample(request.service, trio.current_time())
        result.samples.append(sample)
        elsewhere = False
        while True:
            entry = _entry_for(
                result.world,
                request.region,
                random.Random(0) if self.one_entry else draw,
                elsewhere=elsewhere,
            )
            try:
                async with entry.workers:
                    began, delay_s = await entry.policy.run(
                        request,
                        spec.service,
                        _attempt(result, entry, draw),
                    )
                now_s = trio.current_time()
                sample.code = ""
                sample.latency_s = now_s - sample.arrived_s
                sample.wait_s = began - delay_s - sample.arrived_s
                return
            except (steering.SteeringError, ports.UpstreamError) as error:
                sample.code = error.code
                if error.not_run and not elsewhere:
                    # Callers use the next entry of their lookup.
                    elsewhere = True
                    continue
            if self.again_after_s is None:
                return
            elsewhere = False
            await trio.sleep(self.again_after_s * draw.uniform(0.5, 1.5))


def _entry_for(
    world: steering_world.World,
    region: str,
    draw: random.Random,
    *,
    elsewhere: bool,
) -> steering_world.SimEntry:
    """Returns a live entry in or outside of a region if there is one."""
    alive = [e for e in world.entries.values() if e.alive]
    near = [e for e in alive if (e.region == region) != elsewhere]
    return draw.choice(near or alive)


def _attempt(
    result: Result, entry: steering_world.SimEntry, draw: random.Random
) -> Callable[[model.UpstreamRecord], Awaitable[tuple[float, float]]]:
    """Returns a function that sends a request to a simulated upstream."""
    world = result.world

    async def attempt(record: model.UpstreamRecord) -> tuple[float, float]:
        upstream = world.upstreams[record.upstream]
        use = world.use[record.service, record.region]
        delay_s = world.delay_s(entry, upstream)
        result.starts.setdefault(record.upstream, []).append(
            trio.current_time()
        )
        if upstream.died_at_s is not None:
            await trio.sleep(world.lost_region_timeout_s or CONNECT_REFUSED_S)
            raise ports.UpstreamError(
                ports.UPSTREAM_NOT_REACHED, "refused", not_run=True
            )
        incarnation = upstream.record.incarnation
        await trio.sleep(delay_s)
        use.change(1)
        try:
            began = await upstream.serve(draw)
        finally:
            use.change(-1)
        if (
            upstream.died_at_s is not None
            or upstream.record.incarnation != incarnation
        ):
            raise ports.UpstreamError(
                ports.UPSTREAM_BROKEN, "died", not_run=False
            )
        await trio.sleep(delay_s)
        return began, delay_s

    return attempt
