"""Guards against a default policy that is worse than simple policies.

Each load pattern runs against the real forwarding code. Runs that differ under
the same seeds would make the results meaningless.
"""

import pytest
from trio._core import _run as trio_scheduler

from guavapulley import experiments

DURATION_S = 12.0
# Patterns with hundreds of entries take minutes; see test_large_fleet.py.
PATTERNS = {
    name: pattern
    for name, pattern in experiments.PATTERNS.items()
    if pattern.entries_per_domain <= 2
}


@pytest.fixture(scope="module")
def ledgers():
    """Ledgers by the names of the load pattern and of the policy."""
    return {
        (pattern, policy): experiments.run_pattern(
            PATTERNS[pattern],
            experiments.POLICIES[policy],
            1,
            DURATION_S,
        )
        for pattern in PATTERNS
        for policy in ("cost", "least-in-flight", "round-robin")
    }


@pytest.mark.parametrize("simple", ["least-in-flight", "round-robin"])
@pytest.mark.parametrize("pattern", PATTERNS)
def test_expected_cost_earns_more_than_simple_policies(
    ledgers, pattern, simple
):
    assert ledgers[pattern, "cost"].credit() > ledgers[pattern, simple].credit()


@pytest.mark.parametrize("pattern", ["galvanovna-quiet", "siam-quiet"])
def test_refusals_are_decided_within_an_eighth_of_the_target(ledgers, pattern):
    assert ledgers[pattern, "cost"].p99_refusal_time_fraction() <= 1 / 8


@pytest.mark.parametrize("pattern", PATTERNS)
def test_no_kind_starves(ledgers, pattern):
    ledger = ledgers[pattern, "cost"]
    answered_fraction = ledger.outcome_fraction(
        lambda outcome: outcome.status == 200
    )
    for kind in PATTERNS[pattern].kinds:
        kind_outcomes = [
            outcome for outcome in ledger.outcomes if outcome.kind == kind
        ]
        kind_answered_fraction = sum(
            outcome.status == 200 for outcome in kind_outcomes
        ) / len(kind_outcomes)
        assert kind_answered_fraction >= answered_fraction / 4


def test_runs_with_the_same_seeds_are_equal():
    def run():
        trio_scheduler._r.seed(1)
        ledger = experiments.run_pattern(
            experiments.PATTERNS["siam-load"],
            experiments.POLICIES["cost"],
            7,
            3.0,
        )
        return len(ledger.outcomes), ledger.exchanges

    assert run() == run()
