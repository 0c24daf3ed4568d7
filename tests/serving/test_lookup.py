"""Guards against lookups that return entries that refuse requests."""

import collections

import pytest

from guavapulley import model
from guavapulley import serving

STATE = model.EntryState


def entry(name, region="pb", state=STATE.ALIVE):
    address = model.NodeAddress("127.0.0.1", 1)
    return model.EntryRecord(
        name, region, f"{region}-1", address, address, 1, 1, state
    )


class View:
    def __init__(self, *entries):
        self.entries = entries

    def live_entries(self):
        return self.entries


def entry_names(view, caller="10.0.0.1", region="pb"):
    answer = serving.Lookup(view).find_entries("s", region, caller)
    return [listed.name for listed in answer.entries]


@pytest.mark.parametrize(
    ("entries", "expected"),
    [
        ([entry("a", "za"), entry("b", "pb")], ["b", "a"]),
        ([entry("a", state=STATE.LEAVING), entry("b")], ["b"]),
        ([entry("a", state=STATE.STARTING), entry("b")], ["b"]),
        (
            [entry("a", state=STATE.DETACHED), entry("b", "za")],
            ["b", "a"],
        ),
        ([], []),
    ],
)
def test_ready_entries_of_the_region_come_first(entries, expected):
    assert entry_names(View(*entries)) == expected


def test_callers_are_balanced_and_keep_their_entry():
    entries = [entry(f"e{number}") for number in range(4)]
    callers = [f"10.0.{n // 250}.{n % 250}" for n in range(1_000)]
    first_entries = {c: entry_names(View(*entries), c)[0] for c in callers}
    counts = collections.Counter(first_entries.values())
    assert min(counts.values()) > 150
    remaining = View(*entries[1:])
    moved = [
        c for c in callers if entry_names(remaining, c)[0] != first_entries[c]
    ]
    assert all(first_entries[c] == "e0" for c in moved)
