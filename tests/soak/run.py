"""Randomized soak of the real programs.

    .venv/bin/python -m tests.soak.run --seed 7 --seconds 30
    .venv/bin/python -m tests.soak.run --seeds 50 --fresh
    .venv/bin/python -m tests.soak.run --variant twice

Starts three core and two edge nodes, callers, servers and an operator, injects
faults from outside, and checks the promises on what callers and servers saw.
Logs and settings of a seed that fails are kept.
"""

import contextlib
import itertools
import pathlib
import random
import shutil
import tempfile

import click
import trio

from guavapulley.programs import _ports
from tests.integration import fault_proxy
from tests.platform import deployment
from tests.soak import checkers
from tests.soak import history
from tests.soak import injectors
from tests.soak import stand_ins
from tests.soak import variants

CALLERS = 16
PAUSE_S = 0.1
SERVERS_IN_A_ZONE = 2
# What the platform allows until requests are served after a fault.
RECOVERY_S = 15.0
MEASURED_S = 2.0
RUNS = itertools.count(10)


async def soak(seed, seconds, folder, variant=None):
    """Runs one seed; returns what was seen.

    Args:
        seed: Decides on faults and their times.
        seconds: How long faults are injected.
        folder: Takes settings, data and logs.
        variant: Name of a broken variant of the program; None for the program.
    """
    noise = random.Random(f"callers and servers of {seed}")
    seen = history.History()
    deployed = deployment.Deployment(folder, next(RUNS), edges=2)
    for node in deployed.nodes:
        if variant is not None:
            node.launcher = (str(variants.PATH), variant)
    try:
        async with trio.open_nursery() as nursery:
            world = await _started(nursery, deployed, seen, seed, noise)
            ids = itertools.count()
            for _ in range(CALLERS):
                caller = stand_ins.Caller(
                    deployed.edges, seen, noise, ids, PAUSE_S
                )
                nursery.start_soon(caller.run)
            for edge in deployed.edges:
                nursery.start_soon(_probe, world, edge)
            fault = (
                None if variant is None else variants.VARIANTS[variant].fault
            )
            await injectors.inject(world, seconds, fault)
            await _recover(world)
            nursery.cancel_scope.cancel()
    finally:
        deployed.stop()
    return seen


async def _started(nursery, deployed, seen, seed, noise):
    """Starts everything and waits until requests are served."""
    for node in deployed.nodes:
        node.start()
    first = stand_ins.first_configuration()
    assert await deployed.send_command("/Config.Replace", first) == 200
    world = injectors.World(
        deployed,
        fault_proxy.FaultProxy(nursery),
        nursery,
        [],
        stand_ins.Operator(deployed.cores, seen, noise),
        seen,
        random.Random(seed),
        noise,
    )
    network = deployed.edge.ip.rpartition(".")[0]
    kinds = itertools.product(
        stand_ins.SERVICES, stand_ins.ZONES, range(SERVERS_IN_A_ZONE)
    )
    for at, (service, zone, _) in enumerate(kinds):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        target = listeners[0].socket.getsockname()[:2]
        host = f"{network}.{200 + at}"
        port = _ports.free_address(host).port
        await world.proxy.forward(host, (host, port), target)
        place = injectors.Place(service, zone, host, listeners[0], port)
        world.places.append(place)
        world.start_server(place)
    return world


async def _probe(world, edge):
    """Asks an edge again and again which version it serves."""
    ids = itertools.count()
    while True:
        await trio.sleep(0.1)
        now = world.starts.get(edge.name, 1)
        for version in range(world.operator.newest, 0, -1):
            with contextlib.suppress(*deployment.CALL_ERRORS):
                with trio.move_on_after(1):
                    status, _, _ = await deployment.call(
                        edge.ip,
                        deployment.FRONTEND_PORT,
                        "GET",
                        f"/v{version}/x",
                        headers=(
                            ("Host", "shop.example"),
                            ("Request-Id", f"p-{edge.name}-{next(ids)}"),
                            ("Deadline-Ms", "900"),
                        ),
                    )
                    if status == 200 and now == world.starts.get(edge.name, 1):
                        world.seen.probes.append(
                            history.Probe(
                                f"{edge.name}/{now}",
                                version,
                                trio.current_time(),
                            )
                        )
                    if status != 404:
                        break


async def _recover(world):
    """Waits until requests are served, then measures and reads back."""
    seen = world.seen
    with trio.move_on_after(RECOVERY_S):
        served = False
        while not served:
            await trio.sleep(0.2)
            served = _part_served(seen, trio.current_time() - MEASURED_S)
    began_s = trio.current_time()
    await trio.sleep(MEASURED_S)
    late = [a for a in seen.answers if a.sent_s >= began_s]
    seen.served_after = (sum(a.status == 200 for a in late), len(late))
    for core in world.deployed.cores:
        with trio.move_on_after(RECOVERY_S):
            version = None
            while version is None:
                version = await world.operator.read_back(core)
                await trio.sleep(0.1)
        seen.read_back[core.name] = version


def _part_served(seen, since_s):
    """Returns whether most of the newest requests were served."""
    late = [a for a in seen.answers if a.sent_s >= since_s]
    return len(late) > 10 and sum(a.status == 200 for a in late) > len(late) / 2


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--seeds", default=1, show_default=True, help="How many.")
@click.option("--fresh", is_flag=True, help="Draw the first seed.")
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--variant", type=click.Choice(sorted(variants.VARIANTS)))
def main(seed, seeds, fresh, seconds, variant):
    """Runs seeds and prints the promises that were broken."""
    first = random.SystemRandom().randrange(10**6) if fresh else seed
    failed = 0
    for at in range(first, first + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{at}-"))
        seen = trio.run(soak, at, seconds, folder, variant)
        found = checkers.violations(seen)
        failed += bool(found)
        click.echo(
            f"seed {at}: {len(seen.answers)} requests, {len(seen.runs)}"
            f" arrivals, {len(seen.troubles)} troubles, {len(found)} violations"
        )
        for violation in found[:20]:
            click.echo(f"  {violation.promise}: {violation.what}")
        if found:
            click.echo(f"  logs in {folder}")
        else:
            shutil.rmtree(folder)
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
