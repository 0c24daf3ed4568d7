"""Runs loads on a simulated deployment and records their results."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import math
import random

import attrs
import trio
import trio.testing

from bench import steering_baselines
from bench import steering_simulation
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
        rate_per_s: Mean number of requests per second in all regions.
        start_s: Start of the arrivals, in seconds.
        end_s: End of the arrivals, in seconds.
    """

    service: str
    rate_per_s: float
    start_s: float
    end_s: float


@attrs.define
class Sample:
    """One request of a caller.

    Attributes:
        service: Name of the service.
        arrived_s: Time of the arrival at the entry, in seconds.
        latency_s: Time until the answer, in seconds; None without an answer.
        wait_s: Time in queues of the entry and the upstream, in seconds.
        code: Code of the last error; empty without one.
    """

    service: str
    arrived_s: float
    latency_s: float | None = None
    wait_s: float = 0.0
    code: str = ""


@attrs.define
class Result:
    """Results of one run.

    Attributes:
        simulation: The simulated deployment.
        samples: Requests in the order of their arrival.
        attempt_starts_s: Start times of attempts by upstream, in seconds.
    """

    simulation: steering_simulation.Simulation
    samples: list[Sample] = attrs.field(factory=list)
    attempt_starts_s: dict[str, list[float]] = attrs.field(factory=dict)

    def samples_of(
        self, service: str, start_s: float = 0.0, end_s: float = math.inf
    ) -> list[Sample]:
        """Returns the samples of a service that arrived in an interval."""
        return [
            sample
            for sample in self.samples
            if sample.service == service and start_s <= sample.arrived_s < end_s
        ]

    def attempt_count(self, service: str, start_s: float, end_s: float) -> int:
        """Returns the number of attempts of a service begun in an interval."""
        return sum(
            start_s <= started_at_s < end_s
            for name, starts_s in self.attempt_starts_s.items()
            if self.simulation.upstreams[name].record.service == service
            for started_at_s in starts_s
        )

    def overload(
        self, service: str, excluded_regions: Sequence[str] = ()
    ) -> tuple[int, float, float]:
        """Returns the load and overload of the regions with a service.

        Args:
            service: Name of the service.
            excluded_regions: Regions that are left out.

        Returns:
            The number of seconds in which the average number of requests in a
            region exceeded its slots; the highest average over a second; and
            the highest number at any time. The last two are relative to the
            slots.
        """
        overload_s, highest_average, peak = 0, 0.0, 0.0
        for (name, region), usage in self.simulation.region_usage.items():
            slots = self.simulation.slots(service, region)
            if name != service or region in excluded_regions:
                continue
            overload_s += sum(
                average > slots for average in usage.averages.values()
            )
            highest_average = max(
                highest_average, max(usage.averages.values(), default=0) / slots
            )
            peak = max(peak, usage.peak / slots)
        return overload_s, highest_average, peak


def quantile(values: Sequence[float], fraction: float) -> float:
    """Returns a quantile by the nearest rank; NaN without values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[
        min(len(ordered) - 1, math.ceil(fraction * len(ordered)) - 1)
    ]


def create_policy(
    policy: str, entry: steering_simulation.SimulatedEntry, seed: int
) -> steering_simulation.Policy:
    """Creates the policy of an entry.

    Args:
        policy: Name in `POLICIES`.
        entry: The entry.
        seed: Seed of the random numbers.
    """
    rng = random.Random(f"{seed}/{entry.name}")
    pickers: dict[str, steering_baselines.UpstreamPicker] = {
        "round_robin": steering_baselines.RoundRobin(rng),
        "least_in_flight": steering_baselines.LeastInFlight(rng),
    }
    if policy in pickers:
        return steering_baselines.BaselinePolicy(
            entry.view, entry.region, pickers[policy]
        )
    return steering.Steerer(
        entry.view,
        entry.name,
        entry.region,
        ports.NullEventLog(),
        ports.NullMetrics(),
        rng,
    )


@attrs.define
class Run:
    """One run of one policy.

    Attributes:
        deployment: Sizes and delays.
        policy: Name of the policy.
        seed: Seed of all random numbers.
        loads: Arrivals.
        end_s: End of the run, in seconds.
        script: Makes changes during the run, such as failures.
        retry_delay_s: Mean time after which callers retry failed requests, in
            seconds; None if they don't.
        single_entry: Whether all callers of a region use the same entry.
        connect_timeout_s: Time until a connection to a dead upstream fails, in
            seconds; 0 if it is refused at once.
    """

    deployment: steering_simulation.Deployment
    policy: str
    seed: int
    loads: Sequence[Load]
    end_s: float
    script: (
        Callable[[steering_simulation.Simulation], Awaitable[None]] | None
    ) = None
    retry_delay_s: float | None = None
    single_entry: bool = False
    connect_timeout_s: float = 0.0

    def execute(self) -> Result:
        """Runs on a mock clock and returns the result."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(self._main, clock=clock)

    async def _main(self) -> Result:
        # MockClock starts at 0, so times are seconds from the start of the run.
        rng = random.Random(self.seed)
        simulation = steering_simulation.Simulation(
            self.deployment,
            rng,
            connect_timeout_s=self.connect_timeout_s,
        )
        simulation.create_nodes()
        for entry in simulation.entries.values():
            entry.policy = create_policy(self.policy, entry, self.seed)
        result = Result(simulation)
        with trio.move_on_after(self.end_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(simulation.gossip_periodically)
                nursery.start_soon(simulation.renew_periodically)
                if self.script:
                    nursery.start_soon(self.script, simulation)
                for load in self.loads:
                    for region in self.deployment.regions:
                        nursery.start_soon(
                            self._generate_arrivals,
                            nursery,
                            result,
                            load,
                            region,
                        )
        return result

    async def _generate_arrivals(
        self,
        nursery: trio.Nursery,
        result: Result,
        load: Load,
        region: str,
    ) -> None:
        """Starts the requests of the callers of one region at random times."""
        rng = random.Random(f"{self.seed}/{load.service}/{region}")
        slots = result.simulation.slots(load.service)
        region_fraction = result.simulation.slots(load.service, region) / slots
        spec = next(
            spec
            for spec in self.deployment.services
            if spec.service.name == load.service
        )
        await trio.sleep_until(load.start_s)
        number = 0
        while True:
            await trio.sleep(rng.expovariate(load.rate_per_s * region_fraction))
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
            # Each request has its own generator, so that runs that are compared
            # have the same service times.
            nursery.start_soon(
                self._run_caller,
                result,
                request,
                spec,
                random.Random(f"{self.seed}/{request.request_id}"),
            )

    async def _run_caller(
        self,
        result: Result,
        request: model.SteeredRequest,
        spec: steering_simulation.ServiceSpec,
        rng: random.Random,
    ) -> None:
        """Sends one request and records its sample.

        A request that failed without having run is sent once to an entry of
        another region.
        """
        sample = Sample(request.service, trio.current_time())
        result.samples.append(sample)
        other_region = False
        while True:
            entry = _choose_entry(
                result.simulation,
                request.region,
                random.Random(0) if self.single_entry else rng,
                other_region=other_region,
            )
            try:
                async with entry.workers:
                    service_started_at_s, delay_s = await entry.policy.run(
                        request,
                        spec.service,
                        _make_attempt(result, entry, rng),
                    )
                now_s = trio.current_time()
                sample.code = ""
                sample.latency_s = now_s - sample.arrived_s
                sample.wait_s = (
                    service_started_at_s - delay_s - sample.arrived_s
                )
                return
            except (steering.SteeringError, ports.UpstreamError) as error:
                sample.code = error.code
                if error.not_run and not other_region:
                    # The caller uses the next entry of its lookup.
                    other_region = True
                    continue
            if self.retry_delay_s is None:
                return
            other_region = False
            await trio.sleep(self.retry_delay_s * rng.uniform(0.5, 1.5))


def _choose_entry(
    simulation: steering_simulation.Simulation,
    region: str,
    rng: random.Random,
    *,
    other_region: bool,
) -> steering_simulation.SimulatedEntry:
    """Returns a random live entry, in or outside of a region if possible."""
    alive = [entry for entry in simulation.entries.values() if entry.alive]
    preferred = [
        entry for entry in alive if (entry.region == region) != other_region
    ]
    return rng.choice(preferred or alive)


def _make_attempt(
    result: Result,
    entry: steering_simulation.SimulatedEntry,
    rng: random.Random,
) -> Callable[[model.UpstreamRecord], Awaitable[tuple[float, float]]]:
    """Returns a function that sends a request to a simulated upstream."""
    simulation = result.simulation

    async def attempt(record: model.UpstreamRecord) -> tuple[float, float]:
        upstream = simulation.upstreams[record.upstream]
        usage = simulation.region_usage[record.service, record.region]
        delay_s = simulation.delay_s(entry, upstream)
        result.attempt_starts_s.setdefault(record.upstream, []).append(
            trio.current_time()
        )
        if upstream.died_at_s is not None:
            await trio.sleep(simulation.connect_timeout_s or CONNECT_REFUSED_S)
            raise ports.UpstreamError(
                ports.UPSTREAM_NOT_REACHED, "refused", not_run=True
            )
        incarnation = upstream.record.incarnation
        await trio.sleep(delay_s)
        usage.change(1)
        try:
            service_started_at_s = await upstream.serve(rng)
        finally:
            usage.change(-1)
        if (
            upstream.died_at_s is not None
            or upstream.record.incarnation != incarnation
        ):
            raise ports.UpstreamError(
                ports.UPSTREAM_BROKEN, "died", not_run=False
            )
        await trio.sleep(delay_s)
        return service_started_at_s, delay_s

    return attempt
