"""Guards against wrong verdicts about slow upstreams."""

import pytest

from guavapulley import steering
from guavapulley.steering import _latency

NORMAL_S = 0.01


def measured(rounds):
    """Returns peers after rounds of latencies by upstream."""
    peers = _latency.PeerLatencies(steering.SteeringSettings())
    now_s = 0.0
    for latencies in rounds:
        for name, latency_s in latencies.items():
            now_s += 0.001
            peers.of(name, 1)
            peers.answered(name, now_s, latency_s)
    return peers, now_s


def round_of(**slow):
    return dict.fromkeys("abcd", NORMAL_S) | slow


@pytest.mark.parametrize(
    ("rounds", "excluded"),
    [
        # One straggler is no slow upstream.
        ([round_of()] * 5 + [round_of(a=1.0)] + [round_of()], ""),
        ([round_of()] * 5 + [round_of(a=0.1)] * 5, "a"),
        # A changed mix of requests slows all peers alike.
        ([round_of()] * 7 + [dict.fromkeys("abcd", 0.1)] * 7, ""),
        ([round_of()] * 5 + [round_of(a=0.1, b=0.1)] * 7, "ab"),
        # When most are slow, it is taken for another mix.
        ([round_of()] * 5 + [round_of(a=0.1, b=0.1, c=0.1)] * 7, ""),
        ([round_of(a=0.02)] * 9, ""),
    ],
)
def test_outliers(rounds, excluded):
    peers, now_s = measured(rounds)
    found = {
        name
        for name, state in peers.upstreams.items()
        if state.standing(now_s) is not _latency.Standing.NORMAL
    }
    assert found == set(excluded)


def test_probation_grows_with_failed_probes_and_ends_with_good_ones():
    peers, now_s = measured([round_of()] * 5 + [round_of(a=0.1)] * 5)
    state = peers.upstreams["a"]
    lengths = []
    for _ in range(3):
        lengths.append(round(state.excluded_until_s - now_s, 1))
        now_s = state.excluded_until_s
        assert state.standing(now_s) is _latency.Standing.PROBING
        peers.answered("a", now_s, 0.1)
    assert lengths == [1.0, 2.0, 4.0]
    now_s = state.excluded_until_s
    for _ in range(peers.settings.good_probes):
        peers.answered("a", now_s, NORMAL_S)
    assert state.standing(now_s) is _latency.Standing.NORMAL


@pytest.mark.parametrize(
    ("failures", "not_run", "excluded"),
    [(1, True, True), (1, False, False), (2, False, True)],
)
def test_failures_exclude_an_upstream(failures, not_run, excluded):
    peers, now_s = measured([round_of()] * 3)
    for _ in range(failures):
        peers.failed("a", now_s, not_run=not_run)
    standing = peers.upstreams["a"].standing(now_s)
    assert (standing is _latency.Standing.EXCLUDED) is excluded


def test_a_new_incarnation_is_not_judged_by_the_old_one():
    peers, now_s = measured([round_of()] * 5 + [round_of(a=0.1)] * 5)
    assert peers.of("a", 2).standing(now_s) is _latency.Standing.NORMAL
