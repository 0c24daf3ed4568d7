"""Guards against lookups that return distant or stopped entries."""

import pytest

from guavapulley import fleet
from guavapulley import model


def node(name, region, domain, accepting=True):
    address = model.NodeAddress(name, 80)
    return model.NodeRecord(name, region, domain, address, "1", accepting)


@pytest.mark.parametrize(
    ("nodes", "expected"),
    [
        ([node("a", "pb", "pb-1"), node("b", "pb", "pb-2")], ["a"]),
        ([node("b", "pb", "pb-2"), node("c", "za", "za-1")], ["b"]),
        ([node("c", "za", "za-1")], ["c"]),
        ([node("a", "pb", "pb-1", False), node("b", "pb", "pb-2")], ["b"]),
        ([node("a", "pb", "pb-1", False)], ["a"]),
        ([], []),
    ],
)
def test_the_nearest_accepting_entries_are_returned(nodes, expected):
    state = model.FleetState(nodes=tuple(nodes))
    addresses = fleet.nearest_entries(state, "pb", "pb-1")
    assert [address.host for address in addresses] == expected
