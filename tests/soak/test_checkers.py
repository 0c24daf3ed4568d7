"""Guards against checkers that miss violations or report valid histories."""

import attrs
import pytest

from tests.soak import checkers
from tests.soak import history
from tests.soak import injectors
from tests.soak import variants

ANSWER = history.Answer("r1", True, "edge-1", 100.0, 100.1, 200, "b", True)
ARRIVAL = history.Arrival("r1", "u1", "pb-1", 100.0, True, 200, "b")
CHANGE = history.Command("change", "2", 50.0, base=1)


def valid_history():
    return history.History(
        [ANSWER],
        [ARRIVAL],
        [CHANGE],
        [history.Probe("edge-1/1", 1, 60.0)],
        read_back={"core-0": 2},
        served_after=(4, 4),
    )


def evolve_many(record, count, **make_values):
    return [
        attrs.evolve(
            record,
            **{
                name: make_value(index)
                for name, make_value in make_values.items()
            },
        )
        for index in range(count)
    ]


VIOLATIONS = {
    "at_most_once": {"arrivals": [ARRIVAL, attrs.evolve(ARRIVAL, server="u2")]},
    "not_run_is_true": {"answers": [attrs.evolve(ANSWER, status=503)]},
    "whole_answers": {"answers": [attrs.evolve(ANSWER, body="half")]},
    "drained": {"commands": [CHANGE, history.Command("drain", "u1", 97.0)]},
    "leaving_heard": {
        "answers": [
            attrs.evolve(ANSWER, request_id="r0", sent_s=95.0, ended_s=96.0),
            ANSWER,
        ],
        "arrivals": [
            attrs.evolve(ARRIVAL, request_id="r0", at_s=95.5, leaving=True),
            ARRIVAL,
        ],
    },
    "refusals_heeded": {
        "answers": [attrs.evolve(ANSWER, request_id="r0", status=None)]
        + evolve_many(ANSWER, 3, request_id=lambda index: f"s{index}"),
        "arrivals": [
            attrs.evolve(
                ARRIVAL, request_id="r0", at_s=98.0, ran=False, refusal_s=3.0
            )
        ]
        + evolve_many(ARRIVAL, 3, request_id=lambda index: f"s{index}"),
    },
    "evacuated": {
        "commands": [CHANGE, history.Command("evacuate", "pb-1", 94.0)]
    },
    "never_older": {
        "probes": [
            history.Probe("edge-1/1", 2, 60.0),
            history.Probe("edge-1/1", 1, 61.0),
        ]
    },
    "one_winner": {"commands": [CHANGE, attrs.evolve(CHANGE, name="3")]}
    | {"read_back": {"core-0": 3}},
    "acknowledged_survives": {"read_back": {"core-0": 1}},
    "retry_budget": {
        "answers": [attrs.evolve(ANSWER, once=False)],
        "arrivals": [ARRIVAL] * 60,
    },
    "cold_rate": {
        "answers": evolve_many(
            ANSWER, 20, request_id=lambda index: f"r{index}"
        ),
        "arrivals": evolve_many(
            attrs.evolve(ARRIVAL, cold=True),
            20,
            request_id=lambda index: f"r{index}",
            at_s=lambda index: 100 + index / 25,
        ),
    },
    "clean_stops": {
        "answers": [attrs.evolve(ANSWER, status=None)],
        "exits": [history.Exit("edge-1", 0, 99.9, 101.0)],
    },
    "recovers": {"served_after": (0, 4)},
}


def test_each_checker_has_a_case():
    assert set(VIOLATIONS) == {c.__name__ for c in checkers.CHECKERS}


def test_each_checker_has_a_variant_and_each_variant_a_fault():
    guarantees = [variant.guarantee for variant in variants.VARIANTS.values()]
    assert sorted(guarantees) == sorted(VIOLATIONS)
    for variant in variants.VARIANTS.values():
        assert callable(getattr(injectors, variant.fault))


def test_a_valid_history_has_no_violations():
    assert checkers.find_violations(valid_history()) == []


@pytest.mark.parametrize("guarantee", sorted(VIOLATIONS))
def test_checker_finds_a_violation(guarantee):
    observed = attrs.evolve(valid_history(), **VIOLATIONS[guarantee])
    broken = {
        violation.guarantee for violation in checkers.find_violations(observed)
    }
    assert broken == {guarantee}


def test_cold_rate_ignores_requests_refused_for_a_former_server():
    observed = attrs.evolve(valid_history(), **VIOLATIONS["cold_rate"])
    observed.arrivals = [
        attrs.evolve(arrival, status=421) for arrival in observed.arrivals
    ]
    observed.answers = []
    assert checkers.find_violations(observed) == []


# Time bounds apply only to nodes that nothing disturbs.
@pytest.mark.parametrize("name", ["edge-1", "core"])
@pytest.mark.parametrize("guarantee", ["drained", "evacuated"])
def test_time_bounds_do_not_apply_to_a_disturbed_node(guarantee, name):
    observed = attrs.evolve(
        valid_history(),
        **VIOLATIONS[guarantee],
        disturbances=[history.Disturbance(name, 96.5, 97.0)],
    )
    assert checkers.find_violations(observed) == []
