"""Guards against wrong decisions on which upstreams are outliers."""

import pytest

from guavapulley import steering
from guavapulley.steering import _latency

NORMAL_S = 0.01


def record_rounds(rounds):
    """Returns the peers and the time after some rounds of answers.

    Args:
        rounds: Latencies in seconds by upstream, for each round.
    """
    peers = _latency.PeerLatencies(steering.SteeringSettings())
    now_s = 0.0
    for latencies in rounds:
        for name, latency_s in latencies.items():
            now_s += 0.001
            peers.get_or_create(name, 1)
            peers.record_answer(name, now_s, latency_s)
    return peers, now_s


def make_round(**slow):
    return dict.fromkeys("abcd", NORMAL_S) | slow


@pytest.mark.parametrize(
    ("rounds", "excluded"),
    [
        # A single slow answer does not make an outlier.
        ([make_round()] * 5 + [make_round(a=1.0)] + [make_round()], ""),
        ([make_round()] * 5 + [make_round(a=0.1)] * 5, "a"),
        # A changed mix of requests slows all peers equally.
        ([make_round()] * 7 + [dict.fromkeys("abcd", 0.1)] * 7, ""),
        ([make_round()] * 5 + [make_round(a=0.1, b=0.1)] * 7, "ab"),
        # If most upstreams are slow, the mix of requests must have changed.
        ([make_round()] * 5 + [make_round(a=0.1, b=0.1, c=0.1)] * 7, ""),
        ([make_round(a=0.02)] * 9, ""),
    ],
)
def test_upstreams_slower_than_their_peers_are_outliers(rounds, excluded):
    peers, now_s = record_rounds(rounds)
    outliers = {
        name
        for name, state in peers.upstreams.items()
        if state.outlier_state(now_s) is not _latency.OutlierState.NORMAL
    }
    assert outliers == set(excluded)


def test_failed_probes_double_the_probation_and_good_probes_end_it():
    peers, now_s = record_rounds([make_round()] * 5 + [make_round(a=0.1)] * 5)
    state = peers.upstreams["a"]
    durations_s = []
    for _ in range(3):
        durations_s.append(round(state.excluded_until_s - now_s, 1))
        now_s = state.excluded_until_s
        assert state.outlier_state(now_s) is _latency.OutlierState.PROBING
        peers.record_answer("a", now_s, 0.1)
    assert durations_s == [1.0, 2.0, 4.0]
    now_s = state.excluded_until_s
    for _ in range(peers.settings.good_probes):
        peers.record_answer("a", now_s, NORMAL_S)
    assert state.outlier_state(now_s) is _latency.OutlierState.NORMAL


@pytest.mark.parametrize(
    ("failures", "not_run", "excluded"),
    [(1, True, True), (1, False, False), (2, False, True)],
)
def test_failures_exclude_an_upstream(failures, not_run, excluded):
    peers, now_s = record_rounds([make_round()] * 3)
    for _ in range(failures):
        peers.record_failure("a", now_s, not_run=not_run)
    outlier_state = peers.upstreams["a"].outlier_state(now_s)
    assert (outlier_state is _latency.OutlierState.EXCLUDED) is excluded


def test_a_new_incarnation_does_not_inherit_the_probation():
    peers, now_s = record_rounds([make_round()] * 5 + [make_round(a=0.1)] * 5)
    assert (
        peers.get_or_create("a", 2).outlier_state(now_s)
        is _latency.OutlierState.NORMAL
    )
