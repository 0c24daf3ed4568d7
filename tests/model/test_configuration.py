"""Guards against changes that lose or keep the wrong objects."""

import pytest

from guavapulley import model

DRAIN = model.Drain("a", "rack = 1")
SERVICE = model.Service("s", model.TrafficClass.SHORT)
START = model.Configuration(3, (DRAIN, SERVICE))


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
def test_objects_after_a_change(puts, deletes, expected):
    after = START.replaced(4, puts, deletes)
    assert after == model.Configuration(4, expected)


def test_intents_come_from_the_highest_priority_down():
    intents = [
        model.Intent(name, "", "", priority=priority)
        for name, priority in (("b", 1), ("c", 5), ("a", 1))
    ]
    found = model.Configuration(1, tuple(intents)).intents()
    assert [intent.name for intent in found] == ["c", "a", "b"]
