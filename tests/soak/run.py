"""Randomized soak of the real programs.

    .venv/bin/python -m tests.soak.run --seed 7 --seconds 30
    .venv/bin/python -m tests.soak.run --seeds 50 --fresh
    .venv/bin/python -m tests.soak.run --variant twice

Starts three core and two edge nodes, callers, servers and an operator, injects
faults from outside, and checks the guarantees on what callers and servers
observe. Logs and settings of a seed with violations are kept.
"""

import contextlib
import itertools
import pathlib
import random
import shutil
import tempfile

import click
import trio

from guavapulley.programs import _addresses
from tests.integration import fault_proxy
from tests.platform import deployment
from tests.soak import checkers
from tests.soak import history
from tests.soak import injectors
from tests.soak import simulators
from tests.soak import variants

CALLERS = 16
MEAN_PAUSE_S = 0.1
SERVERS_PER_ZONE = 2
# Time in which the platform requires requests to be served after a fault.
RECOVERY_S = 15.0
MEASUREMENT_S = 2.0
# Numbers of deployments, each with five addresses of a network of 254. The runs
# of one process follow each other and may use the same ones.
RUN_NUMBERS = itertools.cycle(range(10, 50))


async def soak(seed, seconds, folder, variant=None):
    """Runs one seed and returns what was observed.

    Args:
        seed: Determines the faults and their times.
        seconds: Time in which faults are injected.
        folder: Folder for settings, data and logs.
        variant: Name of a broken variant of the program; None for the program.
    """
    workload_rng = random.Random(f"callers and servers of {seed}")
    observed = history.History()
    deployed = deployment.Deployment(folder, next(RUN_NUMBERS), edges=2)
    for node in deployed.nodes:
        if variant is not None:
            node.launcher = (str(variants.PATH), variant)
    try:
        async with trio.open_nursery() as nursery:
            system = await _start_system(
                nursery, deployed, observed, seed, workload_rng
            )
            ids = itertools.count()
            for _ in range(CALLERS):
                caller = simulators.Caller(
                    deployed.edges, observed, workload_rng, ids, MEAN_PAUSE_S
                )
                nursery.start_soon(caller.run)
            for edge in deployed.edges:
                nursery.start_soon(_probe_versions, system, edge)
            fault = (
                None if variant is None else variants.VARIANTS[variant].fault
            )
            await injectors.inject(system, seconds, fault)
            await _measure_recovery(system)
            nursery.cancel_scope.cancel()
    finally:
        deployed.stop()
    return observed


async def _start_system(nursery, deployed, observed, seed, workload_rng):
    """Starts nodes and servers and installs the first configuration."""
    for node in deployed.nodes:
        node.start()
    configuration = simulators.initial_configuration()
    assert await deployed.send_command("/Config.Replace", configuration) == 200
    system = injectors.System(
        deployed,
        fault_proxy.FaultProxy(nursery),
        nursery,
        [],
        simulators.Operator(deployed.cores, observed, workload_rng),
        observed,
        random.Random(seed),
        workload_rng,
    )
    network = deployed.edge.ip.rpartition(".")[0]
    server_positions = itertools.product(
        simulators.SERVICES, simulators.ZONES, range(SERVERS_PER_ZONE)
    )
    for index, (service, zone, _) in enumerate(server_positions):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        target = listeners[0].socket.getsockname()[:2]
        host = f"{network}.{200 + index}"
        port = _addresses.free_address(host).port
        await system.proxy.forward(host, (host, port), target)
        location = injectors.Location(service, zone, host, listeners[0], port)
        system.locations.append(location)
        system.start_server(location)
    return system


async def _probe_versions(system, edge):
    """Records repeatedly the newest version that an edge serves."""
    ids = itertools.count()
    while True:
        await trio.sleep(0.1)
        start_number = system.start_counts.get(edge.name, 1)
        for version in range(system.operator.newest_version, 0, -1):
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
                    if (
                        status == 200
                        and start_number
                        == system.start_counts.get(edge.name, 1)
                    ):
                        system.observed.probes.append(
                            history.Probe(
                                f"{edge.name}/{start_number}",
                                version,
                                trio.current_time(),
                            )
                        )
                    if status != 404:
                        break


async def _measure_recovery(system):
    """Waits until requests are served, then records the final state."""
    observed = system.observed
    with trio.move_on_after(RECOVERY_S):
        served = False
        while not served:
            await trio.sleep(0.2)
            served = _is_mostly_served(
                observed, trio.current_time() - MEASUREMENT_S
            )
    started_at_s = trio.current_time()
    await trio.sleep(MEASUREMENT_S)
    answers = [
        answer for answer in observed.answers if answer.sent_s >= started_at_s
    ]
    observed.served_after = (
        sum(answer.status == 200 for answer in answers),
        len(answers),
    )
    for core in system.deployed.cores:
        with trio.move_on_after(RECOVERY_S):
            version = None
            while version is None:
                version = await system.operator.read_back(core)
                await trio.sleep(0.1)
        observed.read_back[core.name] = version


def _is_mostly_served(observed, since_s):
    """Returns whether most requests since a time were served."""
    answers = [
        answer for answer in observed.answers if answer.sent_s >= since_s
    ]
    return (
        len(answers) > 10
        and sum(answer.status == 200 for answer in answers) > len(answers) / 2
    )


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--seeds", default=1, show_default=True, help="Number of seeds.")
@click.option("--fresh", is_flag=True, help="Choose the first seed at random.")
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--variant", type=click.Choice(sorted(variants.VARIANTS)))
def main(seed, seeds, fresh, seconds, variant):
    """Runs seeds and prints the violated guarantees."""
    first_seed = random.SystemRandom().randrange(10**6) if fresh else seed
    failed = 0
    for run_seed in range(first_seed, first_seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{run_seed}-"))
        observed = trio.run(soak, run_seed, seconds, folder, variant)
        violations = checkers.find_violations(observed)
        failed += bool(violations)
        click.echo(
            f"seed {run_seed}: {len(observed.answers)} requests,"
            f" {len(observed.arrivals)} arrivals,"
            f" {len(observed.disturbances)} disturbances,"
            f" {len(violations)} violations"
        )
        for violation in violations[:20]:
            click.echo(f"  {violation.guarantee}: {violation.description}")
        if violations:
            click.echo(f"  logs in {folder}")
        else:
            shutil.rmtree(folder)
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
