"""Simulated deployment around real `Steerer` objects, on trio's MockClock.

Upstreams are simulated at the port: an attempt travels to the upstream, waits
in its first-in-first-out queue while all slots are taken, is served, and
travels back. Everything that an entry knows of the others is late.
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
RENEWAL_S = 1.0
EXPIRY_S = 5.0
ENTRY_DEAD_S = 6.0
# Workers of an entry are shared by all classes; design section 4.2.
ENTRY_WORKERS = 300


@attrs.frozen
class ServiceTimes:
    """Lognormal service times with stragglers.

    Attributes:
        median_s: Median.
        sigma: Standard deviation of the logarithm.
        straggler_part: Part of the requests that straggle.
        straggler_factor: How much longer a straggler takes.
    """

    median_s: float
    sigma: float
    straggler_part: float
    straggler_factor: float

    def draw(self, source: random.Random) -> float:
        """Returns a service time in seconds."""
        time_s = source.lognormvariate(0, self.sigma) * self.median_s
        straggles = source.random() < self.straggler_part
        return time_s * (self.straggler_factor if straggles else 1.0)

    def mean_s(self, seed: int = 0) -> float:
        """Returns the mean of many draws."""
        source = random.Random(seed)
        return sum(self.draw(source) for _ in range(20_000)) / 20_000


@attrs.frozen
class ServiceSpec:
    """A service of a deployment."""

    service: model.Service
    upstreams: int
    slots: int
    times: ServiceTimes


@attrs.frozen
class Deployment:
    """Sizes and one-way delays of a deployment."""

    name: str
    regions: tuple[str, ...]
    domain_delay_s: float
    region_delay_s: float
    entries: int
    services: tuple[ServiceSpec, ...]


@attrs.define
class SimUpstream:
    """An upstream with slots and a first-in-first-out queue."""

    record: model.UpstreamRecord
    times: ServiceTimes
    slots: trio.Semaphore
    factor: float = 1.0
    died_at_s: float | None = None
    born_at_s: float = 0.0
    first_seen_s: float = 0.0
    in_flight: int = 0
    reports: list[tuple[float, int, int]] = attrs.field(factory=list)
    last_start_s: float = 0.0
    cold_until_s: float = 0.0
    cold_factor: float = 1.0

    async def serve(self, draw: random.Random) -> float:
        """Serves a request and returns the time at which it began."""
        self.in_flight += 1
        try:
            async with self.slots:
                began = trio.current_time()
                self.last_start_s = began
                time_s = self.times.draw(draw) * self.factor
                if began < self.cold_until_s:
                    time_s *= self.cold_factor
                await trio.sleep(time_s)
                return began
        finally:
            self.in_flight -= 1

    def queued(self) -> int:
        """Returns the requests that wait in the upstream."""
        return max(0, self.in_flight - self.record.slots)


@attrs.define
class RegionUse:
    """Requests present at the upstreams of a region and service.

    Attributes:
        now: Requests that are served or queued there.
        peak: Most of them at any moment.
        areas: Their average in each second.
        changed_s: Time of the last change.
    """

    now: int = 0
    peak: int = 0
    areas: dict[int, float] = attrs.field(factory=dict)
    changed_s: float = 0.0

    def change(self, step: int) -> None:
        """Counts an arrival or its end."""
        now_s = trio.current_time()
        while self.changed_s < now_s:
            second = int(self.changed_s)
            until_s = min(now_s, second + 1.0)
            area = self.now * (until_s - self.changed_s)
            self.areas[second] = self.areas.get(second, 0.0) + area
            self.changed_s = until_s
        self.now += step
        self.peak = max(self.peak, self.now)


@attrs.define
class World:
    """All upstreams and entries of a run."""

    deployment: Deployment
    draw: random.Random
    report_lag_s: float = 5.0
    lost_region_timeout_s: float = 0.0
    upstreams: dict[str, SimUpstream] = attrs.field(factory=dict)
    entries: dict[str, "SimEntry"] = attrs.field(factory=dict)
    use: dict[tuple[str, str], RegionUse] = attrs.field(factory=dict)

    def build(self) -> None:
        """Creates upstreams and entries, spread over regions and domains."""
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
                self.upstreams[record.upstream] = SimUpstream(
                    record, spec.times, trio.Semaphore(spec.slots)
                )
            for region in regions:
                self.use[spec.service.name, region] = RegionUse()
        for number in range(self.deployment.entries):
            region = regions[number % len(regions)]
            name = f"entry-{number}"
            self.entries[name] = SimEntry(
                self,
                name,
                region,
                f"{region}{number // len(regions) % 2 + 1}",
                trio.Semaphore(ENTRY_WORKERS),
            )

    def slots(self, service: str, region: str | None = None) -> int:
        """Returns the slots of a service, in one region or in all."""
        return sum(
            u.record.slots
            for u in self.upstreams.values()
            if u.record.service == service and region in (None, u.record.region)
        )

    def delay_s(self, entry: "SimEntry", upstream: SimUpstream) -> float:
        """Returns the one-way delay."""
        record = upstream.record
        if entry.region != record.region:
            return self.deployment.region_delay_s
        if entry.domain != record.failure_domain:
            return self.deployment.domain_delay_s
        return SAME_DOMAIN_DELAY_S

    async def renew_forever(self) -> None:
        """Renews the records of all upstreams with late load reports."""
        while True:
            now_s = trio.current_time()
            for upstream in self.upstreams.values():
                if upstream.died_at_s is not None:
                    continue
                upstream.reports.append(
                    (now_s, upstream.in_flight, upstream.queued())
                )
                lag = self.draw.uniform(0, self.report_lag_s)
                late = [r for r in upstream.reports if r[0] <= now_s - lag]
                upstream.reports = upstream.reports[-8:]
                load = None
                if late:
                    # The upstream reports the age as 0: it misleads.
                    load = model.LoadReport(late[-1][1], late[-1][2], 0.0)
                upstream.record = attrs.evolve(
                    upstream.record,
                    sequence=upstream.record.sequence + 1,
                    load=load,
                )
            for entry in self.entries.values():
                entry.view.renew(now_s)
            await trio.sleep(RENEWAL_S)

    async def gossip_forever(self) -> None:
        """Passes the records of entries on, one or two periods late."""
        while True:
            for entry in self.entries.values():
                entry.publish()
            for entry in self.entries.values():
                entry.view.hear(self.draw)
            await trio.sleep(GOSSIP_PERIOD_S)


@attrs.define
class SimEntry:
    """An entry; `policy` is set by the scenario."""

    world: World
    name: str
    region: str
    domain: str
    workers: trio.Semaphore
    alive: bool = True
    died_at_s: float = 0.0
    published: list[model.EntryRecord] = attrs.field(factory=list)
    policy: "Policy | None" = None
    view: "SimView" = attrs.field(
        default=attrs.Factory(lambda self: SimView(self), takes_self=True)
    )

    def publish(self) -> None:
        """Keeps the own record of now for later delivery."""
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


class SimView:
    """`ports.SteeringView` of one simulated entry."""

    def __init__(self, entry: SimEntry) -> None:
        self.entry = entry
        self.known: dict[str, list[ports.KnownUpstream]] = {}
        self.peers: dict[str, model.EntryRecord] = {}
        self.order: list[model.EntryRecord] = []
        self.in_force = model.Configuration(
            1, tuple(s.service for s in entry.world.deployment.services)
        )

    def configuration(self) -> model.Configuration:
        """Returns the configuration in force at this entry."""
        return self.in_force

    def detached(self) -> bool:
        """Returns False; detachment is no part of these scenarios."""
        return False

    def upstreams(self, service: str) -> list[ports.KnownUpstream]:
        """Returns the upstreams of a service as of the last renewal."""
        if not self.known:
            self.renew(trio.current_time())
        return self.known.get(service, [])

    def live_entries(self) -> list[model.EntryRecord]:
        """Returns the entries as of the last gossip."""
        return self.order

    def renew(self, now_s: float) -> None:
        """Takes over the records of all upstreams."""
        known: dict[str, list[ports.KnownUpstream]] = {}
        for item in self._renewed(now_s):
            known.setdefault(item.record.service, []).append(item)
        self.known = known

    def _renewed(self, now_s: float) -> Iterator[ports.KnownUpstream]:
        for upstream in self.entry.world.upstreams.values():
            died = upstream.died_at_s
            expired = died is not None and now_s - died >= EXPIRY_S
            yield ports.KnownUpstream(
                upstream.record,
                now_s if died is None else died,
                upstream.first_seen_s,
                ports.Freshness.EXPIRED if expired else ports.Freshness.FRESH,
            )

    def hear(self, draw: random.Random) -> None:
        """Takes over the records of other entries, one or two rounds late."""
        now_s = trio.current_time()
        for other in self.entry.world.entries.values():
            if not other.alive and now_s - other.died_at_s >= ENTRY_DEAD_S:
                self.peers.pop(other.name, None)
            elif other is self.entry:
                self.peers[other.name] = other.published[-1]
            else:
                late = min(draw.choice((2, 3)), len(other.published))
                if late:
                    self.peers[other.name] = other.published[-late]
        self.order = [self.peers[name] for name in sorted(self.peers)]


class Policy(Protocol):
    """How an entry sends requests to upstreams."""

    def in_flight(self) -> Mapping[str, int]:
        """Returns the own requests by upstream."""

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
