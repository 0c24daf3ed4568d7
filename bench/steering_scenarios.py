"""The measured scenarios; each yields lines of figures.

A scenario takes the seed, the number of entries, the policies and the scale of
its length.
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
from bench import steering_world
from guavapulley import model

# An entry uses its slots only 2 s after its start, and callers learn of it by
# lookups later than that.
START_S = 3.0
WARM_UP_S = 5.0
# Requests that arrived last may still be answered.
GRACE_S = 3.0
SLOW_FACTOR = 10.0
STATUS_UTILISATION = 0.4
STOCK_UTILISATION = 0.4
FAILOVER_UTILISATION = 0.5
# More than one entry owns, less than it can borrow.
SKEWED_UTILISATION = 0.3
# Claims need some seconds until slots are lent.
LENDING_S = 5.0


def figures(
    result: steering_run.Result,
    service: str,
    start_s: float = 0.0,
    end_s: float = float("inf"),
) -> str:
    """Returns latencies, waiting times and extra requests of a service."""
    samples = result.of(service, start_s, end_s)
    answered = [s for s in samples if s.latency_s is not None]
    latencies = [s.latency_s * 1000 for s in answered]
    waits = [s.wait_s * 1000 for s in answered]
    attempts = result.attempts(service, start_s, end_s)
    extra = attempts / max(1, len(samples)) - 1
    seconds, mean, peak = result.overload(service)
    quantiles = " ".join(
        f"p{part * 100:g}={steering_run.quantile(latencies, part):.1f}"
        for part in (0.5, 0.99, 0.999)
    )
    return (
        f"{service} n={len(samples)} answered={len(answered)} "
        f"{quantiles} ms wait "
        f"p50={steering_run.quantile(waits, 0.5):.2f} "
        f"p99={steering_run.quantile(waits, 0.99):.2f} ms "
        f"extra={extra * 100:.2f}% headroom={(1 - mean) * 100:.0f}% "
        f"peak={peak * 100:.0f}% over={seconds}s"
    )


def p99(result: steering_run.Result, service: str, start_s: float) -> float:
    """Returns the p99 latency in seconds."""
    samples = result.of(service, start_s)
    return steering_run.quantile(
        [s.latency_s for s in samples if s.latency_s is not None], 0.99
    )


def p99_wait(
    result: steering_run.Result, service: str, start_s: float
) -> float:
    """Returns the p99 waiting time in seconds."""
    samples = result.of(service, start_s)
    return steering_run.quantile(
        [s.wait_s for s in samples if s.latency_s is not None], 0.99
    )


def archive_overload(
    seed: int, entries: int, policies: Sequence[str], scale: float
) -> Iterator[str]:
    """Offers archive look-ups at twice capacity beside status reads."""
    deployment = deployments.with_entries(deployments.GALVANOVNA, entries)
    end_s = WARM_UP_S + 25 * scale
    status = steering_run.Load(
        "line-status",
        deployments.rate_for(deployment, "line-status", STATUS_UTILISATION),
        START_S,
        end_s,
    )
    archive = steering_run.Load(
        "inspection-archive",
        deployments.rate_for(deployment, "inspection-archive", 2.0),
        START_S,
        end_s,
    )
    for policy in policies:
        waits = []
        for name, loads in (("idle", [status]), ("load", [status, archive])):
            result = steering_run.Run(
                deployment, policy, seed, loads, end_s + GRACE_S
            ).execute()
            waits.append(p99_wait(result, "line-status", WARM_UP_S))
            for load in loads:
                yield (
                    f"{policy} {name} "
                    f"{figures(result, load.service, WARM_UP_S)}"
                )
        yield (
            f"{policy} wait p99 idle={waits[0] * 1000:.2f} "
            f"load={waits[1] * 1000:.2f} ms target<=1.25x"
        )


def slowed(
    count: int, at_s: float, seed: int
) -> Callable[[steering_world.World], Awaitable[None]]:
    """Returns a script that slows stock upstreams."""

    async def script(world: steering_world.World) -> None:
        await trio.sleep_until(at_s)
        names = [n for n in world.upstreams if n.startswith("stock-price")]
        for name in random.Random(seed).sample(names, count):
            world.upstreams[name].factor = SLOW_FACTOR

    return script


def slow_upstreams(
    seed: int, entries: int, policies: Sequence[str], scale: float
) -> Iterator[str]:
    """Slows 2 of 16 stock upstreams tenfold."""
    deployment = deployments.with_entries(deployments.SIAM, entries)
    end_s = WARM_UP_S + 25 * scale
    load = steering_run.Load(
        "stock-price",
        deployments.rate_for(deployment, "stock-price", STOCK_UTILISATION),
        START_S,
        end_s,
    )
    values: dict[str, tuple[float, float]] = {}
    for policy in policies:
        found = []
        for name, count in (("unslowed", 0), ("slowed", 2)):
            result = steering_run.Run(
                deployment,
                policy,
                seed,
                [load],
                end_s + GRACE_S,
                slowed(count, WARM_UP_S, seed),
            ).execute()
            found.append(p99(result, "stock-price", WARM_UP_S))
            yield (
                f"{policy} {name} {figures(result, 'stock-price', WARM_UP_S)}"
            )
        values[policy] = (found[0], found[1])
        yield (
            f"{policy} p99 slowed/unslowed={found[1] / found[0]:.2f} "
            "target<=1.5"
        )
    if len(values) == len(steering_run.POLICIES):
        best = min(v[1] for k, v in values.items() if k != "steerer")
        yield (
            f"best baseline p99 / steerer p99="
            f"{best / values['steerer'][1]:.2f} target>=3"
        )


def skewed_callers(
    seed: int, entries: int, policies: Sequence[str], scale: float
) -> Iterator[str]:
    """Lets all callers of a region use the same entry."""
    deployment = deployments.with_entries(deployments.SIAM, entries)
    end_s = WARM_UP_S + 25 * scale
    load = steering_run.Load(
        "stock-price",
        deployments.rate_for(deployment, "stock-price", SKEWED_UTILISATION),
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
            one_entry=True,
        ).execute()
        late_s = WARM_UP_S + LENDING_S
        yield f"{policy} {figures(result, 'stock-price', late_s)}"


def lost_region(
    region: str, at_s: float, back_s: float, *, entries_too: bool
) -> Callable[[steering_world.World], Awaitable[None]]:
    """Returns a script in which a region fails and returns."""

    async def script(world: steering_world.World) -> None:
        await trio.sleep_until(at_s)
        hit = [u for u in world.upstreams.values() if u.record.region == region]
        for upstream in hit:
            upstream.died_at_s = trio.current_time()
        if entries_too:
            for entry in world.entries.values():
                if entry.region == region:
                    entry.alive = False
                    entry.died_at_s = trio.current_time()
        await trio.sleep_until(back_s)
        for upstream in hit:
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
    base: steering_world.Deployment,
    seed: int,
    entries: int,
    policies: Sequence[str],
    scale: float,
) -> Iterator[str]:
    """Loses the upstreams of a region, then a whole region."""
    deployment = deployments.with_entries(base, entries)
    at_s, back_s, end_s = 10.0, 10 + 20 * scale, 10 + 35 * scale
    names = [s.service.name for s in deployment.services]
    loads = [
        steering_run.Load(
            name,
            deployments.rate_for(deployment, name, FAILOVER_UTILISATION),
            START_S,
            end_s,
        )
        for name in names
    ]
    lost = deployment.regions[seed % len(deployment.regions)]
    for policy in policies:
        for entries_too in (False, True):
            result = steering_run.Run(
                deployment,
                policy,
                seed,
                loads,
                end_s + GRACE_S,
                lost_region(lost, at_s, back_s, entries_too=entries_too),
                lost_region_timeout_s=1.0 if entries_too else 0.0,
            ).execute()
            kind = "region" if entries_too else "upstreams"
            for name in names:
                seconds, mean, peak = result.overload(name, [lost])
                yield (
                    f"{deployment.name} {policy} lost {kind} of {lost}: "
                    f"above capacity {seconds} s, highest second "
                    f"{mean * 100:.0f}%, peak {peak * 100:.0f}%, "
                    f"{figures(result, name, at_s, back_s)}"
                )


def drained(
    upstream: str, at_s: float
) -> Callable[[steering_world.World], Awaitable[None]]:
    """Returns a script that drains an upstream by configuration."""

    async def script(world: steering_world.World) -> None:
        await trio.sleep_until(at_s)
        for entry in world.entries.values():
            # Changes are in force everywhere within 2 s.
            await trio.sleep(2.0 / len(world.entries))
            entry.view.in_force = entry.view.in_force.replaced(
                2, (model.Drain("d", f"upstream={upstream}"),), ()
            )

    return script


def pulls_and_drain(
    seed: int, entries: int, policies: Sequence[str], scale: float
) -> Iterator[str]:
    """Offers pulls at 1.5 times capacity and drains an upstream."""
    deployment = deployments.with_entries(deployments.SIAM, entries)
    window_s = 60 * scale
    rate = deployments.rate_for(deployment, "catalogue-sync", 1.5)
    loads = [
        steering_run.Load("catalogue-sync", rate, START_S, window_s),
        steering_run.Load(
            "stock-price",
            deployments.rate_for(deployment, "stock-price", 0.2),
            START_S,
            window_s / 2,
        ),
    ]
    target = "catalogue-sync-4"
    at_s = 20 * scale
    for policy in policies:
        result = steering_run.Run(
            deployment,
            policy,
            seed,
            loads,
            20 * window_s,
            drained(target, at_s),
            again_after_s=5.0,
        ).execute()
        pulls = result.of("catalogue-sync")
        ends = [
            s.arrived_s + s.latency_s for s in pulls if s.latency_s is not None
        ]
        late = [t for t in result.starts.get(target, ()) if t > at_s + 3]
        last = result.world.upstreams[target].last_start_s
        # Without the drained upstream 11 of 12 remain.
        ideal_s = START_S + (window_s - START_S) * 1.5 * 12 / 11
        yield (
            f"{policy} pulls={len(pulls)} finished={len(ends)} last at "
            f"{max(ends, default=0):.0f} s, 95 % at "
            f"{steering_run.quantile(ends, 0.95):.0f} s (ideal "
            f"{ideal_s:.0f} s for all), starts "
            f"at the drained upstream after 3 s: {len(late)}, last start "
            f"{last - at_s:+.1f} s after the drain"
        )
        yield f"{policy} {figures(result, 'stock-price')}"


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
