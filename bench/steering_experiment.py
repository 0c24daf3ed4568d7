"""Measures steering on simulated deployments.

Run from the root of the repository:

    .venv/bin/python -m bench.steering_experiment --scenario slow --seed 1
"""

import argparse
import sys

from bench import steering_deployments
from bench import steering_run
from bench import steering_scenarios


def main() -> int:
    """Runs the chosen scenarios and prints their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--scenario",
        choices=[*steering_scenarios.SCENARIOS, "all"],
        default="all",
    )
    parser.add_argument("--seed", type=int, nargs="+", default=[1])
    parser.add_argument("--entries", type=int, default=11)
    parser.add_argument(
        "--policy",
        nargs="+",
        choices=steering_run.POLICIES,
        default=list(steering_run.POLICIES),
    )
    parser.add_argument(
        "--scale",
        type=float,
        default=1.0,
        help="factor of the length of the runs",
    )
    options = parser.parse_args()
    names = (
        list(steering_scenarios.SCENARIOS)
        if options.scenario == "all"
        else [options.scenario]
    )
    for deployment in (
        steering_deployments.GALVANOVNA,
        steering_deployments.SIAM,
    ):
        for spec in deployment.services:
            print(
                f"# {deployment.name} {spec.service.name} {spec.service_times}"
            )
    for name in names:
        for seed in options.seed:
            for line in steering_scenarios.SCENARIOS[name](
                seed, options.entries, options.policy, options.scale
            ):
                print(f"{name} seed={seed} {line}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
