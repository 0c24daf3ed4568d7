"""Scenarios of the benchmark; each yields lines of results.

A scenario takes the seed, the number of entries, the names of the policies and
a factor of its length.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import functools
import random

import attrs
import trio

from bench import steering_deployments as deployments
from bench import steering_run
from bench import steering_simulation
from guavapulley import model

# An entry uses its slots from 2 s after its start on, and callers get it from
# lookups later than that.
START_S = 3.0
WARM_UP_S = 5.0
# Time for the answers to the last requests.
GRACE_S = 3.0
SLOW_FACTOR = 10.0
STATUS_UTILIZATION = 0.4
STOCK_UTILIZATION = 0.4
FAILOVER_UTILIZATION = 0.5
# More than the slots that one entry owns, less than it can borrow.
SKEWED_UTILIZATION = 0.3
# Slots are lent some seconds after they are claimed.
LENDING_DELAY_S = 5.0


def format_result(
    result: steering_run.Result,
    service: str,
    start_s: float = 0.0,
    end_s: float = float("inf"),
) -> str:
    """Returns a line with latencies, waiting times and load of a service."""
    samples = result.samples_of(service, start_s, end_s)
    answered = [sample for sample in samples if sample.latency_s is not None]
    latencies_ms = [sample.latency_s * 1000 for sample in answered]
    waits_ms = [sample.wait_s * 1000 for sample in answered]
    attempt_count = result.attempt_count(service, start_s, end_s)
    extra = attempt_count / max(1, len(samples)) - 1
    overload_s, highest_average, peak = result.overload(service)
    quantiles = " ".join(
        f"p{rank * 100:g}={steering_run.quantile(latencies_ms, rank):.1f}"
        for rank in (0.5, 0.99, 0.999)
    )
    return (
        f"{service} n={len(samples)} answered={len(answered)} "
        f"{quantiles} ms wait "
        f"p50={steering_run.quantile(waits_ms, 0.5):.2f} "
        f"p99={steering_run.quantile(waits_ms, 0.99):.2f} ms "
        f"extra={extra * 100:.2f}% "
        f"headroom={(1 - highest_average) * 100:.0f}% "
        f"peak={peak * 100:.0f}% over={overload_s}s"
    )


def p99_latency_s(
    result: steering_run.Result, service: str, start_s: float
) -> float:
    """Returns the p99 latency in seconds."""
    samples = result.samples_of(service, start_s)
    return steering_run.quantile(
        [
            sample.latency_s
            for sample in samples
            if sample.latency_s is not None
        ],
        0.99,
    )


def p99_wait_s(
    result: steering_run.Result, service: str, start_s: float
) -> float:
    """Returns the p99 waiting time in seconds."""
    samples = result.samples_of(service, start_s)
    return steering_run.quantile(
        [sample.wait_s for sample in samples if sample.latency_s is not None],
        0.99,
    )


def archive_overload(
    seed: int, entries: int, policies: Sequence[str], scale: float
) -> Iterator[str]:
    """Sends archive lookups at twice capacity together with status reads."""
    deployment = deployments.with_entries(deployments.GALVANOVNA, entries)
    end_s = WARM_UP_S + 25 * scale
    status = steering_run.Load(
        "line-status",
        deployments.rate_for_utilization(
            deployment, "line-status", STATUS_UTILIZATION
        ),
        START_S,
        end_s,
    )
    archive = steering_run.Load(
        "inspection-archive",
        deployments.rate_for_utilization(deployment, "inspection-archive", 2.0),
        START_S,
        end_s,
    )
    for policy in policies:
        waits_s = []
        for name, loads in (("idle", [status]), ("load", [status, archive])):
            result = steering_run.Run(
                deployment, policy, seed, loads, end_s + GRACE_S
            ).execute()
            waits_s.append(p99_wait_s(result, "line-status", WARM_UP_S))
            for load in loads:
                yield (
                    f"{policy} {name} "
                    f"{format_result(result, load.service, WARM_UP_S)}"
                )
        yield (
            f"{policy} wait p99 idle={waits_s[0] * 1000:.2f} "
            f"load={waits_s[1] * 1000:.2f} ms target<=1.25x"
        )


def slow_upstreams_script(
    count: int, slow_at_s: float, seed: int
) -> Callable[[steering_simulation.Simulation], Awaitable[None]]:
    """Returns a script that slows random stock upstreams."""

    async def script(simulation: steering_simulation.Simulation) -> None:
        await trio.sleep_until(slow_at_s)
        names = [n for n in simulation.upstreams if n.startswith("stock-price")]
        for name in random.Random(seed).sample(names, count):
            simulation.upstreams[name].slow_factor = SLOW_FACTOR

    return script


def slow_upstreams(
    seed: int, entries: int, policies: Sequence[str], scale: float
) -> Iterator[str]:
    """Slows 2 of 16 stock upstreams by `SLOW_FACTOR`."""
    deployment = deployments.with_entries(deployments.SIAM, entries)
    end_s = WARM_UP_S + 25 * scale
    load = steering_run.Load(
        "stock-price",
        deployments.rate_for_utilization(
            deployment, "stock-price", STOCK_UTILIZATION
        ),
        START_S,
        end_s,
    )
    p99s_by_policy: dict[str, tuple[float, float]] = {}
    for policy in policies:
        p99s_s = []
        for name, count in (("unslowed", 0), ("slowed", 2)):
            result = steering_run.Run(
                deployment,
                policy,
                seed,
                [load],
                end_s + GRACE_S,
                slow_upstreams_script(count, WARM_UP_S, seed),
            ).execute()
            p99s_s.append(p99_latency_s(result, "stock-price", WARM_UP_S))
            yield (
                f"{policy} {name} "
                f"{format_result(result, 'stock-price', WARM_UP_S)}"
            )
        p99s_by_policy[policy] = (p99s_s[0], p99s_s[1])
        yield (
            f"{policy} p99 slowed/unslowed={p99s_s[1] / p99s_s[0]:.2f} "
            "target<=1.5"
        )
    if len(p99s_by_policy) == len(steering_run.POLICIES):
        best_baseline_s = min(
            v[1] for k, v in p99s_by_policy.items() if k != "steerer"
        )
        yield (
            f"best baseline p99 / steerer p99="
            f"{best_baseline_s / p99s_by_policy['steerer'][1]:.2f} target>=3"
        )


def skewed_callers(
    seed: int, entries: int, policies: Sequence[str], scale: float
) -> Iterator[str]:
    """Lets all callers of a region use the same entry."""
    deployment = deployments.with_entries(deployments.SIAM, entries)
    end_s = WARM_UP_S + 25 * scale
    load = steering_run.Load(
        "stock-price",
        deployments.rate_for_utilization(
            deployment, "stock-price", SKEWED_UTILIZATION
        ),
        START_S,
        end_s,
    )
    for policy in policies:
        result = steering_run.Run(
            deployment,
            policy,
            seed,
            [load],
            end_s + GRACE_S,
            single_entry=True,
        ).execute()
        start_s = WARM_UP_S + LENDING_DELAY_S
        yield f"{policy} {format_result(result, 'stock-price', start_s)}"


def region_failure_script(
    region: str, fail_at_s: float, recovery_s: float, *, entries_too: bool
) -> Callable[[steering_simulation.Simulation], Awaitable[None]]:
    """Returns a script in which a region fails and recovers.

    Args:
        region: Name of the region.
        fail_at_s: Time of the failure, in seconds.
        recovery_s: Time of the recovery of the upstreams, in seconds.
        entries_too: Whether its entries fail as well; they don't recover.
    """

    async def script(simulation: steering_simulation.Simulation) -> None:
        await trio.sleep_until(fail_at_s)
        affected = [
            upstream
            for upstream in simulation.upstreams.values()
            if upstream.record.region == region
        ]
        for upstream in affected:
            upstream.died_at_s = trio.current_time()
        if entries_too:
            for entry in simulation.entries.values():
                if entry.region == region:
                    entry.alive = False
                    entry.died_at_s = trio.current_time()
        await trio.sleep_until(recovery_s)
        for upstream in affected:
            now_s = trio.current_time()
            upstream.died_at_s = None
            upstream.first_seen_s = now_s
            upstream.cold_until_s = now_s + 5
            upstream.cold_factor = 3.0
            upstream.record = attrs.evolve(
                upstream.record, incarnation=upstream.record.incarnation + 1
            )

    return script


def failover(
    base: steering_simulation.Deployment,
    seed: int,
    entries: int,
    policies: Sequence[str],
    scale: float,
) -> Iterator[str]:
    """Stops the upstreams of a region and, in other runs, its entries too."""
    deployment = deployments.with_entries(base, entries)
    fail_at_s, recovery_s, end_s = 10.0, 10 + 20 * scale, 10 + 35 * scale
    names = [spec.service.name for spec in deployment.services]
    loads = [
        steering_run.Load(
            name,
            deployments.rate_for_utilization(
                deployment, name, FAILOVER_UTILIZATION
            ),
            START_S,
            end_s,
        )
        for name in names
    ]
    lost_region = deployment.regions[seed % len(deployment.regions)]
    for policy in policies:
        for entries_too in (False, True):
            result = steering_run.Run(
                deployment,
                policy,
                seed,
                loads,
                end_s + GRACE_S,
                region_failure_script(
                    lost_region, fail_at_s, recovery_s, entries_too=entries_too
                ),
                connect_timeout_s=1.0 if entries_too else 0.0,
            ).execute()
            failure = "region" if entries_too else "upstreams"
            for name in names:
                overload_s, highest_average, peak = result.overload(
                    name, [lost_region]
                )
                yield (
                    f"{deployment.name} {policy} "
                    f"lost {failure} of {lost_region}: "
                    f"above capacity {overload_s} s, highest second "
                    f"{highest_average * 100:.0f}%, peak {peak * 100:.0f}%, "
                    f"{format_result(result, name, fail_at_s, recovery_s)}"
                )


def drain_script(
    upstream: str, drain_at_s: float
) -> Callable[[steering_simulation.Simulation], Awaitable[None]]:
    """Returns a script that drains an upstream by configuration."""

    async def script(simulation: steering_simulation.Simulation) -> None:
        await trio.sleep_until(drain_at_s)
        for entry in simulation.entries.values():
            # Entries apply a change one after another, all within 2 s.
            await trio.sleep(2.0 / len(simulation.entries))
            entry.view.current_configuration = (
                entry.view.current_configuration.with_changes(
                    2, (model.Drain("d", f"upstream={upstream}"),), ()
                )
            )

    return script


def pulls_and_drain(
    seed: int, entries: int, policies: Sequence[str], scale: float
) -> Iterator[str]:
    """Sends pulls at 1.5 times capacity and drains an upstream."""
    deployment = deployments.with_entries(deployments.SIAM, entries)
    arrivals_s = 60 * scale
    rate_per_s = deployments.rate_for_utilization(
        deployment, "catalogue-sync", 1.5
    )
    loads = [
        steering_run.Load("catalogue-sync", rate_per_s, START_S, arrivals_s),
        steering_run.Load(
            "stock-price",
            deployments.rate_for_utilization(deployment, "stock-price", 0.2),
            START_S,
            arrivals_s / 2,
        ),
    ]
    drained_upstream = "catalogue-sync-4"
    drain_at_s = 20 * scale
    for policy in policies:
        result = steering_run.Run(
            deployment,
            policy,
            seed,
            loads,
            20 * arrivals_s,
            drain_script(drained_upstream, drain_at_s),
            retry_delay_s=5.0,
        ).execute()
        pulls = result.samples_of("catalogue-sync")
        end_times_s = [
            sample.arrived_s + sample.latency_s
            for sample in pulls
            if sample.latency_s is not None
        ]
        late_starts_s = [
            start_s
            for start_s in result.attempt_starts_s.get(drained_upstream, ())
            if start_s > drain_at_s + 3
        ]
        last_start_s = result.simulation.upstreams[
            drained_upstream
        ].last_start_s
        # Without the drained upstream 11 of 12 remain.
        ideal_s = START_S + (arrivals_s - START_S) * 1.5 * 12 / 11
        yield (
            f"{policy} pulls={len(pulls)} finished={len(end_times_s)} last at "
            f"{max(end_times_s, default=0):.0f} s, 95 % at "
            f"{steering_run.quantile(end_times_s, 0.95):.0f} s (ideal "
            f"{ideal_s:.0f} s for all), starts "
            f"at the drained upstream after 3 s: {len(late_starts_s)}, "
            f"last start {last_start_s - drain_at_s:+.1f} s after the drain"
        )
        yield f"{policy} {format_result(result, 'stock-price')}"


SCENARIOS: dict[
    str, Callable[[int, int, Sequence[str], float], Iterator[str]]
] = {
    "archive": archive_overload,
    "slow": slow_upstreams,
    "failover-galvanovna": functools.partial(failover, deployments.GALVANOVNA),
    "failover-siam": functools.partial(failover, deployments.SIAM),
    "pulls": pulls_and_drain,
    "skew": skewed_callers,
}
