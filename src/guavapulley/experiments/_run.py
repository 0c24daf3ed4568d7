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
from guavapulley.experiments import _ledger
from guavapulley.experiments import _patterns
from guavapulley.experiments import _upstreams

# The same retry settings as in the users' deployments.
FORWARDING_SETTINGS = forwarding.ForwardingSettings(
    retry_ratio=0.2, retry_slack=56, retry_window_s=10
)
ADDRESS = model.NodeAddress("127.0.0.1", 1)
# Delay until the entries have the fleet state after a change or a start.
PROPAGATION_DELAY_S = 0.3
FIRST_STATE_DELAY_S = 0.3


class Experiment:
    """One run of a load pattern.

    Args:
        pattern: The load pattern.
        policy: Placement policy of all entries.
        seed: Seed of all random numbers.
    """

    def __init__(
        self,
        pattern: _patterns.LoadPattern,
        policy: routing.PlacementPolicy,
        seed: int,
    ) -> None:
        self.pattern = pattern
        self.policy = policy
        self.rng = random.Random(seed)
        self.ledger = _ledger.Ledger()
        self.upstreams = {
            upstream.record.upstream: upstream
            for upstream in self._create_upstreams()
        }
        self.entries = [
            _callers.ModelEntry(domain, None)
            for domain in pattern.regions
            for _ in range(pattern.entries_per_domain)
        ]
        self.state = model.FleetState(
            1,
            self._build_routing_table(),
            (),
            tuple(upstream.record for upstream in self.upstreams.values()),
            tuple(
                model.NodeRecord(
                    f"entry-{index}",
                    pattern.regions[entry.domain],
                    entry.domain,
                    ADDRESS,
                    "",
                )
                for index, entry in enumerate(self.entries)
            ),
        )

    def _create_upstreams(self) -> list[_upstreams.ModelUpstream]:
        pattern = self.pattern
        return [
            _upstreams.ModelUpstream(
                model.UpstreamRecord(
                    f"{service}-{domain}-{index}",
                    service,
                    ADDRESS,
                    pattern.regions[domain],
                    domain,
                    service_model.slots,
                    0,
                ),
                service_model,
                self.rng,
            )
            for service, service_model in pattern.services.items()
            for domain, count in service_model.upstreams.items()
            for index in range(count)
        ]

    def _build_routing_table(self) -> model.RoutingTable:
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

    def _create_forwarder(self, index: int) -> forwarding.Forwarder:
        """Returns a forwarder without a fleet state for an entry."""
        domain = self.entries[index].domain
        events = ports.NullEventLog()
        return forwarding.Forwarder(
            forwarding.UpstreamRegistry(
                FORWARDING_SETTINGS, f"entry-{index}", events
            ),
            _upstreams.ModelClient(
                self.upstreams, self.pattern, domain, self.ledger
            ),
            _upstreams.ModelHeaderCodec(),
            routing.Location(self.pattern.regions[domain], domain),
            events,
            ports.NullMetrics(),
            self.policy,
        )

    async def run(self, duration_s: float) -> _ledger.Ledger:
        """Runs the pattern for `duration_s` seconds; returns the ledger."""
        for index, entry in enumerate(self.entries):
            entry.forwarder = self._create_forwarder(index)
        self._apply_state(self.state)
        request_ids = itertools.count()
        regions = sorted(set(self.pattern.regions.values()))
        async with trio.open_nursery() as nursery:
            for disturbance in self.pattern.disturbances:
                nursery.start_soon(self._run_disturbance, disturbance)
            for domain, region in self.pattern.regions.items():
                callers = _callers.Callers(
                    domain,
                    self.pattern,
                    [entry for entry in self.entries if entry.domain == domain],
                    self.ledger,
                    self.rng,
                    regions.index(region) / len(regions),
                    request_ids,
                )
                nursery.start_soon(callers.run, nursery, duration_s)
        return self.ledger

    def _apply_state(self, state: model.FleetState) -> None:
        self.state = state
        for entry in self.entries:
            if entry.forwarder is not None:
                entry.forwarder.apply_state(state)

    async def _run_disturbance(
        self, disturbance: _patterns.Disturbance
    ) -> None:
        await trio.sleep(disturbance.starts_at_s)
        if disturbance.kind == "evacuate":
            await self._evacuate(disturbance)
        elif disturbance.kind == "restart":
            await self._restart(disturbance)
        else:
            await self._degrade_upstreams(disturbance)

    async def _evacuate(self, disturbance: _patterns.Disturbance) -> None:
        domain = list(self.pattern.regions)[int(disturbance.fraction)]
        await trio.sleep(PROPAGATION_DELAY_S)
        self._apply_state(attrs.evolve(self.state, evacuated=(domain,)))
        await trio.sleep(disturbance.duration_s)
        self._apply_state(attrs.evolve(self.state, evacuated=()))

    async def _restart(self, disturbance: _patterns.Disturbance) -> None:
        """Stops all entries and later starts them without their state."""
        for entry in self.entries:
            entry.forwarder = None
        await trio.sleep(disturbance.duration_s)
        for index, entry in enumerate(self.entries):
            entry.forwarder = self._create_forwarder(index)
        await trio.sleep(FIRST_STATE_DELAY_S)
        self._apply_state(self.state)

    async def _degrade_upstreams(
        self, disturbance: _patterns.Disturbance
    ) -> None:
        """Disturbs a random fraction of the upstreams for some time."""
        affected = [
            upstream
            for upstream in self.upstreams.values()
            if self.rng.random() < disturbance.fraction
        ]
        for upstream in affected:
            match disturbance.kind:
                case "slow":
                    upstream.slow_factor = disturbance.factor
                case "fail":
                    upstream.failure_fraction = disturbance.factor
                case "leave":
                    upstream.leaving = True
                case "refuse":
                    upstream.refusal_s = disturbance.factor
                case _:
                    upstream.down = True
        await trio.sleep(disturbance.duration_s)
        for upstream in affected:
            upstream.slow_factor, upstream.failure_fraction = 1.0, 0.0
            upstream.down = upstream.leaving = False
            upstream.refusal_s = 0.0


def run_pattern(
    pattern: _patterns.LoadPattern,
    policy: routing.PlacementPolicy,
    seed: int,
    duration_s: float,
) -> _ledger.Ledger:
    """Runs a pattern on a paused clock; returns the recorded outcomes.

    Args:
        pattern: The load pattern.
        policy: Placement policy of all entries.
        seed: Seed of all random numbers.
        duration_s: Length of the run on the paused clock, in seconds.
    """
    random.seed(seed)
    return trio.run(
        Experiment(pattern, policy, seed).run,
        duration_s,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )
