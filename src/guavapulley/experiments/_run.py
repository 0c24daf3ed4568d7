"""Runs a load pattern against real forwarders on a paused clock."""

import itertools
import random

import attrs
import trio
import trio.testing

from guavapulley import forwarding
from guavapulley import model
from guavapulley import ports
from guavapulley import routing
from guavapulley.experiments import _callers
from guavapulley.experiments import _credit
from guavapulley.experiments import _patterns
from guavapulley.experiments import _upstreams

# Bounds like those of the users' deployments.
BOUNDS = forwarding.ForwardingSettings(
    retry_ratio=0.2, retry_slack=56, retry_window_s=10
)
ADDRESS = model.NodeAddress("127.0.0.1", 1)
# Entries learn of a change within this time.
FOLLOW_S = 0.3
START_S = 0.3


class Experiment:
    """One run of a pattern.

    Args:
        pattern: The load pattern.
        chooser: Policy of placement.
        seed: Seed of all random numbers.
    """

    def __init__(
        self,
        pattern: _patterns.LoadPattern,
        chooser: routing.PlacementPolicy,
        seed: int,
    ) -> None:
        self.pattern = pattern
        self.chooser = chooser
        self.source = random.Random(seed)
        self.ledger = _credit.Ledger()
        self.upstreams = {
            upstream.record.upstream: upstream
            for upstream in self._made_upstreams()
        }
        self.entries = [
            _callers.ModelEntry(domain, None)
            for domain in pattern.regions
            for _ in range(pattern.entries)
        ]
        self.state = model.FleetState(
            1,
            self._table(),
            (),
            tuple(item.record for item in self.upstreams.values()),
            tuple(
                model.NodeRecord(
                    f"entry-{at}",
                    pattern.regions[entry.domain],
                    entry.domain,
                    ADDRESS,
                    "",
                )
                for at, entry in enumerate(self.entries)
            ),
        )

    def _made_upstreams(self) -> list[_upstreams.ModelUpstream]:
        pattern = self.pattern
        return [
            _upstreams.ModelUpstream(
                model.UpstreamRecord(
                    f"{service}-{domain}-{at}",
                    service,
                    ADDRESS,
                    pattern.regions[domain],
                    domain,
                    behaviour.slots,
                    0,
                ),
                behaviour,
                self.source,
            )
            for service, behaviour in pattern.services.items()
            for domain, count in behaviour.upstreams.items()
            for at in range(count)
        ]

    def _table(self) -> model.RoutingTable:
        routes = tuple(
            model.Route(
                name,
                "model",
                f"/{name}/",
                model.Repeatability.ONCE
                if kind.once
                else model.Repeatability.IDEMPOTENT,
                kind.timeout_s,
                kind.target_s,
                kind.priority,
                (model.Destination(kind.service),),
                max_attempts=2,
                affinity=True,
            )
            for name, kind in self.pattern.kinds.items()
        )
        services = tuple(map(model.ServicePolicy, self.pattern.services))
        return model.RoutingTable(1, routes, services)

    def _started(self, at: int) -> forwarding.Forwarder:
        """Returns a forwarder that knows nothing yet."""
        domain = self.entries[at].domain
        events = ports.NullEventLog()
        return forwarding.Forwarder(
            forwarding.UpstreamRegistry(BOUNDS, f"entry-{at}", events),
            _upstreams.ModelClient(
                self.upstreams, self.pattern, domain, self.ledger
            ),
            _upstreams.ModelDialect(),
            routing.Location(self.pattern.regions[domain], domain),
            events,
            ports.NullMetrics(),
            self.chooser,
        )

    async def run(self, duration_s: float) -> _credit.Ledger:
        """Runs the pattern for some time; returns what callers got."""
        for at, entry in enumerate(self.entries):
            entry.forwarder = self._started(at)
        self._follow(self.state)
        numbers = itertools.count()
        regions = sorted(set(self.pattern.regions.values()))
        async with trio.open_nursery() as nursery:
            for item in self.pattern.disturbances:
                nursery.start_soon(self._disturb, item)
            for domain, region in self.pattern.regions.items():
                callers = _callers.Callers(
                    domain,
                    self.pattern,
                    [e for e in self.entries if e.domain == domain],
                    self.ledger,
                    self.source,
                    regions.index(region) / len(regions),
                    numbers,
                )
                nursery.start_soon(callers.run, nursery, duration_s)
        return self.ledger

    def _follow(self, state: model.FleetState) -> None:
        self.state = state
        for entry in self.entries:
            if entry.forwarder is not None:
                entry.forwarder.apply_state(state)

    async def _disturb(self, item: _patterns.Disturbance) -> None:
        await trio.sleep(item.at_s)
        if item.kind == "evacuate":
            await self._evacuate(item)
        elif item.kind == "restart":
            await self._restart(item)
        else:
            await self._harm(item)

    async def _evacuate(self, item: _patterns.Disturbance) -> None:
        domain = list(self.pattern.regions)[int(item.part)]
        await trio.sleep(FOLLOW_S)
        self._follow(attrs.evolve(self.state, evacuated=(domain,)))
        await trio.sleep(item.for_s)
        self._follow(attrs.evolve(self.state, evacuated=()))

    async def _restart(self, item: _patterns.Disturbance) -> None:
        """All entries lose what they know; callers find nobody meanwhile."""
        for entry in self.entries:
            entry.forwarder = None
        await trio.sleep(item.for_s)
        for at, entry in enumerate(self.entries):
            entry.forwarder = self._started(at)
        await trio.sleep(START_S)
        self._follow(self.state)

    async def _harm(self, item: _patterns.Disturbance) -> None:
        """Slows, fails or ends a part of the upstreams of each service."""
        chosen = [
            upstream
            for upstream in self.upstreams.values()
            if self.source.random() < item.part
        ]
        for upstream in chosen:
            if item.kind == "slow":
                upstream.slow_factor = item.factor
            elif item.kind == "fail":
                upstream.failing_part = item.factor
            else:
                upstream.down = True
        await trio.sleep(item.for_s)
        for upstream in chosen:
            upstream.slow_factor, upstream.failing_part = 1.0, 0.0
            upstream.down = False


def run_pattern(
    pattern: _patterns.LoadPattern,
    chooser: routing.PlacementPolicy,
    seed: int,
    duration_s: float,
) -> _credit.Ledger:
    """Runs a pattern on a paused clock; returns what callers got.

    Args:
        pattern: The load pattern.
        chooser: Policy of placement.
        seed: Seed of all random numbers.
        duration_s: Length of the run on the paused clock, in seconds.
    """
    random.seed(seed)
    return trio.run(
        Experiment(pattern, chooser, seed).run,
        duration_s,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )
