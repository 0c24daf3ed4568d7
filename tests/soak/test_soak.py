"""Guards against violations of the guarantees when faults overlap."""

import ipaddress

import pytest

from tests.platform import deployment
from tests.soak import checkers
from tests.soak import run

DURATION_S = 8.0
# Seeds that have failed before, with the cause. They stay here as regression
# tests after the fault is fixed.
REGRESSION_SEEDS = {
    13: "the checker of the cold rate counted requests for a former server",
    24: "the signal to reload settings terminated a node that was starting",
}


@pytest.mark.processes
@pytest.mark.parametrize("seed", [1, *REGRESSION_SEEDS])
async def test_no_guarantee_is_violated(tmp_path, seed):
    observed = await run.soak(seed, DURATION_S, tmp_path)
    assert len(observed.answers) > 100
    assert checkers.find_violations(observed) == []


def test_the_addresses_of_a_long_run_are_valid(tmp_path):
    # The 42nd seed of a run could not start, as its addresses ended in 256.
    for _ in range(100):
        number = next(run.RUN_NUMBERS)
        deployed = deployment.Deployment(tmp_path, number, edges=2)
        for node in deployed.nodes:
            ipaddress.ip_address(node.ip)
