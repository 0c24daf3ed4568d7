"""Guards against a replica that takes an old state for a confirmed one."""

import math

import pytest

from guavapulley.consensus import _confirmations


@pytest.mark.parametrize(
    ("contacts", "applied_index", "expected_s"),
    [
        ([], 5, -math.inf),
        ([(5, 1.0)], 4, -math.inf),
        ([(5, 1.0)], 5, 1.0),
        ([(5, 1.0), (5, 2.0)], 5, 2.0),
        ([(5, 1.0), (6, 2.0)], 5, 1.0),
        ([(5, 1.0), (6, 2.0), (7, 3.0)], 7, 3.0),
        ([(5, 2.0), (6, 1.0)], 6, 2.0),
        # A new leader does not know the newest commit index at first.
        ([(6, 1.0), (5, 2.0)], 5, -math.inf),
        ([(6, 1.0), (5, 2.0)], 6, 1.0),
        ([(5, -math.inf)], 5, -math.inf),
    ],
)
def test_only_contacts_whose_entries_are_applied_count(
    contacts, applied_index, expected_s
):
    confirmations = _confirmations.Confirmations()
    for commit_index, time_s in contacts:
        confirmations.record(commit_index, time_s, applied_index=0)
    assert confirmations.newest_s(applied_index) == expected_s


def test_the_time_never_decreases():
    confirmations = _confirmations.Confirmations()
    confirmations.record(5, 3.0, applied_index=5)
    assert confirmations.newest_s(5) == 3.0
    confirmations.record(9, 4.0, applied_index=5)
    assert confirmations.newest_s(5) == 3.0


def test_a_late_contact_does_not_count():
    # A partition can hold up a message of the leader.
    confirmations = _confirmations.Confirmations()
    confirmations.record(5, 3.0, applied_index=5)
    confirmations.record(4, 9.0, applied_index=5)
    assert confirmations.newest_s(5) == 3.0


def test_contacts_of_a_replica_that_does_not_catch_up_are_bounded():
    confirmations = _confirmations.Confirmations()
    for index in range(10_000):
        confirmations.record(index, float(index), applied_index=-1)
    assert len(confirmations.pending) == _confirmations.MAX_PENDING
    assert confirmations.newest_s(9_999) == 9_999
