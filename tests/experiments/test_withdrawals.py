"""Guards against requests to upstreams that leave or refuse, under load.

Each broken variant shows that its checker counts the violations.
"""

import pytest

from guavapulley import experiments
from guavapulley import routing
from guavapulley.experiments import _withdrawals

PATTERN = experiments.PATTERNS["galvanovna-withdrawals"]
DURATION_S = 18.0


def run():
    return experiments.run_pattern(
        PATTERN, experiments.POLICIES["cost"], 1, DURATION_S
    )


def test_upstreams_that_withdraw_get_no_requests():
    ledger = run()
    assert not ledger.violations
    answered = ledger.outcome_fraction(lambda outcome: outcome.status == 200)
    assert answered > 0.5


@pytest.mark.parametrize(
    ("attribute", "violation"),
    [
        ("leaving", _withdrawals.AFTER_LEAVING),
        ("refused_until_s", _withdrawals.WHILE_REFUSING),
    ],
)
def test_a_variant_that_forgets_a_withdrawal_is_detected(
    monkeypatch, attribute, violation
):
    original = routing.UpstreamTracker.unavailable_reason

    def forget(tracker, now_s):
        setattr(tracker, attribute, 0)
        return original(tracker, now_s)

    monkeypatch.setattr(routing.UpstreamTracker, "unavailable_reason", forget)
    assert run().violations[violation] > 0
