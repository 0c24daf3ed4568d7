"""Guards against changes that lose objects or keep deleted ones."""

import pytest

from guavapulley import model

DRAIN = model.Drain("a", "rack = 1")
SERVICE = model.Service("s", model.TrafficClass.SHORT)
BASE = model.Configuration(3, (DRAIN, SERVICE))


@pytest.mark.parametrize(
    ("puts", "deletes", "expected"),
    [
        ((), (), (DRAIN, SERVICE)),
        (
            (model.Drain("a", "rack = 2"),),
            (),
            (model.Drain("a", "rack = 2"), SERVICE),
        ),
        ((), (model.ObjectKey("drain", "a"),), (SERVICE,)),
        ((), (model.ObjectKey("drain", "absent"),), (DRAIN, SERVICE)),
        (
            (model.RegionLimit("a"),),
            (),
            (DRAIN, model.RegionLimit("a"), SERVICE),
        ),
    ],
    ids=["nothing", "replace", "delete", "delete absent", "other kind"],
)
def test_change_puts_and_deletes_exactly_its_objects(puts, deletes, expected):
    after = BASE.with_changes(4, puts, deletes)
    assert after == model.Configuration(4, expected)


def test_intents_are_sorted_by_descending_priority_then_name():
    intents = [
        model.Intent(name, "", "", priority=priority)
        for name, priority in (("b", 1), ("c", 5), ("a", 1))
    ]
    ordered = model.Configuration(1, tuple(intents)).intents()
    assert [intent.name for intent in ordered] == ["c", "a", "b"]
