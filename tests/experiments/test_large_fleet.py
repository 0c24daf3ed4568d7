"""Guards against a fleet whose entries place the same object differently.

Replays a sixth of the load of the largest deployment, in which each entry sees
few of the requests for an object.
"""

import attrs
import pytest

from guavapulley import experiments
from guavapulley.experiments import _ledger

DURATION_S = 14.0
SHRINK = 3
SHRINK_LOAD = 6
DOMAINS = 9


def shrink(pattern):
    """Returns a pattern with a third of the upstreams and a sixth of the load.

    All failure domains have the same number of upstreams, and cold objects do
    not fill their slots, so that no request has a reason to leave its domain.
    """
    services = {
        name: attrs.evolve(
            service,
            upstreams=dict.fromkeys(
                service.upstreams,
                round(sum(service.upstreams.values()) / DOMAINS / SHRINK),
            ),
        )
        for name, service in pattern.services.items()
    }
    kinds = {
        name: attrs.evolve(
            kind,
            objects_per_region=round(kind.objects_per_region / SHRINK_LOAD),
        )
        for name, kind in pattern.kinds.items()
    }
    return attrs.evolve(
        pattern,
        services=services,
        kinds=kinds,
        entries_per_domain=round(pattern.entries_per_domain / SHRINK),
        load_factor=pattern.load_factor / SHRINK_LOAD,
    )


@pytest.fixture(scope="module")
def ledgers():
    pattern = shrink(experiments.PATTERNS["galvanovna-large"])
    return {
        policy: experiments.run_pattern(
            pattern, experiments.POLICIES[policy], 1, DURATION_S
        )
        for policy in ("cost", "least-in-flight", "round-robin")
    }


@pytest.mark.parametrize("simple", ["least-in-flight", "round-robin"])
def test_expected_cost_earns_more_than_simple_policies(ledgers, simple):
    assert ledgers["cost"].credit() > ledgers[simple].credit()


def test_requests_stay_in_a_domain_with_many_slots(ledgers):
    # Entries that changed between one preferred upstream in the region and one
    # in each domain processed objects cold in both. Requests that left for
    # another region because cold objects filled the slots for some seconds
    # found them cold there, too.
    fraction = ledgers["cost"].exchange_fraction
    assert fraction(_ledger.Distance.SAME_DOMAIN) > 0.9
    assert fraction(_ledger.Distance.OTHER_REGION) < 0.05
