"""Guards against a wrong credit, the earned fraction of the possible value."""

import attrs
import pytest

from guavapulley.experiments import _ledger

OUTCOME = _ledger.Outcome("read", "pb-1", 0.5, 0.1, 200, 1.0, 1.0)


@pytest.fixture
def ledger():
    return _ledger.Ledger(
        [
            OUTCOME,
            attrs.evolve(OUTCOME, domain="pb-2", earned_value=0.2),
            attrs.evolve(
                OUTCOME, kind="order", possible_value=2.0, earned_value=0.0
            ),
            attrs.evolve(OUTCOME, started_at_s=2.5),
        ]
    )


def test_credit_is_weighted_by_value(ledger):
    assert ledger.credit() == pytest.approx(2.2 / 5)


def test_credit_is_reported_by_kind_domain_and_worst_windows(ledger):
    assert dict(ledger.credit_by_group()) == pytest.approx(
        {
            "kind order": 0.0,
            "kind read": 2.2 / 3,
            "domain pb-1": 2 / 4,
            "domain pb-2": 0.2,
            "worst windows": (1.2 / 4 + 1) / 2,
        }
    )


def test_an_empty_ledger_has_default_results():
    empty = _ledger.Ledger()
    assert empty.credit() == 1.0
    assert empty.p99_refusal_time_fraction() == 0.0
    assert empty.exchange_fraction(_ledger.Distance.SAME_DOMAIN) == 0.0
