"""Simulates a deployment around real `Steerer` objects on trio's MockClock.

Upstreams are simulated behind the port: an attempt reaches the upstream after a
delay, waits in its first-in-first-out queue while all slots are taken, is
served, and its answer takes the same delay. The records that an entry has of
upstreams and other entries are delayed.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import random
from typing import Protocol

import attrs
import trio

from guavapulley import model
from guavapulley import ports

ADDRESS = model.NodeAddress("127.0.0.1", 1)
SAME_DOMAIN_DELAY_S = 0.0002
GOSSIP_PERIOD_S = 0.5
RENEWAL_PERIOD_S = 1.0
UPSTREAM_EXPIRY_S = 5.0
ENTRY_EXPIRY_S = 6.0
# Workers of an entry, which all traffic classes share; design section 4.2.
ENTRY_WORKERS = 300


@attrs.frozen
class ServiceTimes:
    """Lognormal service times with stragglers.

    Attributes:
        median_s: Median in seconds, without stragglers.
        sigma: Standard deviation of the logarithm.
        straggler_fraction: Fraction of the requests that are stragglers.
        straggler_factor: Factor of the service time of a straggler.
    """

    median_s: float
    sigma: float
    straggler_fraction: float
    straggler_factor: float

    def draw(self, rng: random.Random) -> float:
        """Returns a random service time in seconds."""
        time_s = rng.lognormvariate(0, self.sigma) * self.median_s
        straggles = rng.random() < self.straggler_fraction
        return time_s * (self.straggler_factor if straggles else 1.0)

    def mean_s(self, seed: int = 0) -> float:
        """Returns the mean of 20,000 random service times, in seconds."""
        rng = random.Random(seed)
        return sum(self.draw(rng) for _ in range(20_000)) / 20_000


@attrs.frozen
class ServiceSpec:
    """A service of a deployment.

    Attributes:
        service: The service.
        upstreams: Number of its upstreams in all regions.
        slots: Number of slots of each upstream.
        service_times: Distribution of its service times.
    """

    service: model.Service
    upstreams: int
    slots: int
    service_times: ServiceTimes


@attrs.frozen
class Deployment:
    """Sizes and one-way delays of a deployment.

    Attributes:
        name: Name in the output.
        regions: Names of the regions.
        domain_delay_s: One-way delay between domains of a region, in seconds.
        region_delay_s: One-way delay between regions, in seconds.
        entries: Number of entries in all regions.
        services: Services.
    """

    name: str
    regions: tuple[str, ...]
    domain_delay_s: float
    region_delay_s: float
    entries: int
    services: tuple[ServiceSpec, ...]


@attrs.define
class SimulatedUpstream:
    """An upstream with slots and a first-in-first-out queue.

    Attributes:
        record: Last record that it announced.
        service_times: Distribution of its service times.
        slots: Its free slots.
        slow_factor: Factor of the service times while it is slow.
        died_at_s: Time of its failure, in seconds; None while it runs.
        first_seen_s: Time at which entries first saw it, in seconds.
        in_flight: Number of requests that are served or queued.
        reports: Time, requests in flight and queued requests of its last load
            reports.
        last_start_s: Time at which it last began to serve a request, in
            seconds.
        cold_until_s: End of its cold start, in seconds.
        cold_factor: Factor of the service times until then.
    """

    record: model.UpstreamRecord
    service_times: ServiceTimes
    slots: trio.Semaphore
    slow_factor: float = 1.0
    died_at_s: float | None = None
    born_at_s: float = 0.0
    first_seen_s: float = 0.0
    in_flight: int = 0
    reports: list[tuple[float, int, int]] = attrs.field(factory=list)
    last_start_s: float = 0.0
    cold_until_s: float = 0.0
    cold_factor: float = 1.0

    async def serve(self, rng: random.Random) -> float:
        """Serves a request; returns the time at which service began."""
        self.in_flight += 1
        try:
            async with self.slots:
                started_at_s = trio.current_time()
                self.last_start_s = started_at_s
                time_s = self.service_times.draw(rng) * self.slow_factor
                if started_at_s < self.cold_until_s:
                    time_s *= self.cold_factor
                await trio.sleep(time_s)
                return started_at_s
        finally:
            self.in_flight -= 1

    def queued(self) -> int:
        """Returns the number of requests that wait in the upstream."""
        return max(0, self.in_flight - self.record.slots)


@attrs.define
class RegionUsage:
    """Load on the upstreams of a service in a region.

    Attributes:
        current: Number of requests that are served or queued there.
        peak: Highest value of `current`.
        averages: Average of `current` in each second.
        changed_s: Time of the last change, in seconds.
    """

    current: int = 0
    peak: int = 0
    averages: dict[int, float] = attrs.field(factory=dict)
    changed_s: float = 0.0

    def change(self, step: int) -> None:
        """Adds a step to the number: 1 for an arrival, -1 for the end."""
        now_s = trio.current_time()
        while self.changed_s < now_s:
            second = int(self.changed_s)
            until_s = min(now_s, second + 1.0)
            request_seconds = self.current * (until_s - self.changed_s)
            self.averages[second] = (
                self.averages.get(second, 0.0) + request_seconds
            )
            self.changed_s = until_s
        self.current += step
        self.peak = max(self.peak, self.current)


@attrs.define
class Simulation:
    """All upstreams and entries of a run.

    Attributes:
        deployment: Sizes and delays.
        rng: Generator of the random numbers.
        max_report_delay_s: Largest delay of a load report, in seconds.
        connect_timeout_s: Time until a connection to a dead upstream fails, in
            seconds; 0 if it is refused at once.
        upstreams: Upstreams by name.
        entries: Entries by name.
        region_usage: Load by service and region.
    """

    deployment: Deployment
    rng: random.Random
    max_report_delay_s: float = 5.0
    connect_timeout_s: float = 0.0
    upstreams: dict[str, SimulatedUpstream] = attrs.field(factory=dict)
    entries: dict[str, "SimulatedEntry"] = attrs.field(factory=dict)
    region_usage: dict[tuple[str, str], RegionUsage] = attrs.field(factory=dict)

    def create_nodes(self) -> None:
        """Creates upstreams and entries in all regions and domains in turn."""
        regions = self.deployment.regions
        for spec in self.deployment.services:
            for number in range(spec.upstreams):
                region = regions[number % len(regions)]
                domain = f"{region}{number // len(regions) % 2 + 1}"
                record = model.UpstreamRecord(
                    f"{spec.service.name}-{number}",
                    spec.service.name,
                    ADDRESS,
                    region,
                    domain,
                    spec.slots,
                    390,
                )
                self.upstreams[record.upstream] = SimulatedUpstream(
                    record, spec.service_times, trio.Semaphore(spec.slots)
                )
            for region in regions:
                self.region_usage[spec.service.name, region] = RegionUsage()
        for number in range(self.deployment.entries):
            region = regions[number % len(regions)]
            name = f"entry-{number}"
            self.entries[name] = SimulatedEntry(
                self,
                name,
                region,
                f"{region}{number // len(regions) % 2 + 1}",
                trio.Semaphore(ENTRY_WORKERS),
            )

    def slots(self, service: str, region: str | None = None) -> int:
        """Returns the number of slots of a service, in one region or in all."""
        return sum(
            upstream.record.slots
            for upstream in self.upstreams.values()
            if upstream.record.service == service
            and region in (None, upstream.record.region)
        )

    def delay_s(
        self, entry: "SimulatedEntry", upstream: SimulatedUpstream
    ) -> float:
        """Returns the one-way delay to an upstream in seconds."""
        record = upstream.record
        if entry.region != record.region:
            return self.deployment.region_delay_s
        if entry.domain != record.failure_domain:
            return self.deployment.domain_delay_s
        return SAME_DOMAIN_DELAY_S

    async def renew_periodically(self) -> None:
        """Renews the records of all upstreams with delayed load reports."""
        while True:
            now_s = trio.current_time()
            for upstream in self.upstreams.values():
                if upstream.died_at_s is not None:
                    continue
                upstream.reports.append(
                    (now_s, upstream.in_flight, upstream.queued())
                )
                delay_s = self.rng.uniform(0, self.max_report_delay_s)
                delivered = [
                    report
                    for report in upstream.reports
                    if report[0] <= now_s - delay_s
                ]
                upstream.reports = upstream.reports[-8:]
                load = None
                if delivered:
                    # The age is stated as 0 although the report is older, so it
                    # misleads the entries.
                    load = model.LoadReport(
                        delivered[-1][1], delivered[-1][2], 0.0
                    )
                upstream.record = attrs.evolve(
                    upstream.record,
                    sequence=upstream.record.sequence + 1,
                    load=load,
                )
            for entry in self.entries.values():
                entry.view.renew(now_s)
            await trio.sleep(RENEWAL_PERIOD_S)

    async def gossip_periodically(self) -> None:
        """Exchanges the records of entries, delayed by one or two periods."""
        while True:
            for entry in self.entries.values():
                entry.publish()
            for entry in self.entries.values():
                entry.view.receive_gossip(self.rng)
            await trio.sleep(GOSSIP_PERIOD_S)


@attrs.define
class SimulatedEntry:
    """An entry; `policy` is set after its creation.

    Attributes:
        simulation: Simulation to which it belongs.
        workers: Its free workers.
        alive: Whether it runs.
        died_at_s: Time of its failure, in seconds.
        published: Its last records, oldest first.
        policy: Policy by which it sends requests.
        view: Records that it has of upstreams and entries.
    """

    simulation: Simulation
    name: str
    region: str
    domain: str
    workers: trio.Semaphore
    alive: bool = True
    died_at_s: float = 0.0
    published: list[model.EntryRecord] = attrs.field(factory=list)
    policy: "Policy | None" = None
    view: "SimulatedSteeringView" = attrs.field(
        default=attrs.Factory(
            lambda self: SimulatedSteeringView(self), takes_self=True
        )
    )

    def publish(self) -> None:
        """Stores this entry's present record for delayed delivery."""
        if not self.alive:
            return
        in_flight = self.policy.in_flight() if self.policy else {}
        claims = self.policy.claims() if self.policy else {}
        self.published.append(
            model.EntryRecord(
                self.name,
                self.region,
                self.domain,
                ADDRESS,
                ADDRESS,
                1,
                len(self.published),
                model.EntryState.ALIVE,
                in_flight=dict(in_flight),
                claims=dict(claims),
            )
        )
        del self.published[:-4]


class SimulatedSteeringView:
    """`ports.SteeringView` of one simulated entry."""

    def __init__(self, entry: SimulatedEntry) -> None:
        self.entry = entry
        self.observations: dict[str, list[ports.UpstreamObservation]] = {}
        self.entry_records: dict[str, model.EntryRecord] = {}
        self.sorted_entries: list[model.EntryRecord] = []
        self.current_configuration = model.Configuration(
            1, tuple(s.service for s in entry.simulation.deployment.services)
        )

    def configuration(self) -> model.Configuration:
        """Returns the configuration in force at this entry."""
        return self.current_configuration

    def is_detached(self) -> bool:
        """Returns False: no scenario detaches an entry."""
        return False

    def upstreams(self, service: str) -> list[ports.UpstreamObservation]:
        """Returns the upstreams of a service as of the last renewal."""
        if not self.observations:
            self.renew(trio.current_time())
        return self.observations.get(service, [])

    def live_entries(self) -> list[model.EntryRecord]:
        """Returns the entries as of the last gossip."""
        return self.sorted_entries

    def renew(self, now_s: float) -> None:
        """Updates the observations of all upstreams."""
        observations: dict[str, list[ports.UpstreamObservation]] = {}
        for observation in self._observe_upstreams(now_s):
            observations.setdefault(observation.record.service, []).append(
                observation
            )
        self.observations = observations

    def _observe_upstreams(
        self, now_s: float
    ) -> Iterator[ports.UpstreamObservation]:
        for upstream in self.entry.simulation.upstreams.values():
            died_at_s = upstream.died_at_s
            expired = (
                died_at_s is not None and now_s - died_at_s >= UPSTREAM_EXPIRY_S
            )
            yield ports.UpstreamObservation(
                upstream.record,
                now_s if died_at_s is None else died_at_s,
                upstream.first_seen_s,
                ports.Freshness.EXPIRED if expired else ports.Freshness.FRESH,
            )

    def receive_gossip(self, rng: random.Random) -> None:
        """Updates the records of entries, delayed by one or two rounds."""
        now_s = trio.current_time()
        for other in self.entry.simulation.entries.values():
            if not other.alive and now_s - other.died_at_s >= ENTRY_EXPIRY_S:
                self.entry_records.pop(other.name, None)
            elif other is self.entry:
                self.entry_records[other.name] = other.published[-1]
            else:
                records_back = min(rng.choice((2, 3)), len(other.published))
                if records_back:
                    self.entry_records[other.name] = other.published[
                        -records_back
                    ]
        self.sorted_entries = [
            self.entry_records[name] for name in sorted(self.entry_records)
        ]


class Policy(Protocol):
    """Policy by which an entry sends requests to upstreams."""

    def in_flight(self) -> Mapping[str, int]:
        """Returns this entry's requests in flight by upstream."""

    def claims(self) -> Mapping[str, int]:
        """Returns the claimed slots; see `steering.Steerer.claims`."""

    async def run(
        self,
        request: model.SteeredRequest,
        service: model.Service,
        attempt: Callable[
            [model.UpstreamRecord], Awaitable[tuple[float, float]]
        ],
    ) -> tuple[float, float]:
        """Runs a request; see `steering.Steerer.run`."""
