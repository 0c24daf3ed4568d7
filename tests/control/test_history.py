"""Guards against replicas whose memory grows with the size of changes."""

import pytest

from guavapulley import control
from guavapulley import model
from guavapulley.control import _history

MIB = 1_048_576


def drains(count):
    text = "x" * 1_000
    return tuple(model.Drain(f"d{n}", f"a = {text}") for n in range(count))


@pytest.fixture
def machine_after_large_changes(machine, make):
    for index in range(1, 41):
        change = model.Change(f"c{index}", index - 1, "op", drains(500))
        make.command(machine, index, change)
    return machine


def test_large_changes_do_not_accumulate(machine_after_large_changes):
    """The history kept 1,000 changes of any size."""
    history = machine_after_large_changes.history
    kept = [accepted.revision for accepted in history]
    assert kept == list(range(kept[0], 41))
    encode = machine_after_large_changes.codec.encode
    assert sum(len(encode(accepted.change)) for accepted in history) <= 4 * MIB
    assert len(kept) > 4


def test_a_restored_replica_keeps_the_same_changes(machine_after_large_changes):
    machine = machine_after_large_changes
    copy = control.ControlStateMachine(machine.codec)
    copy.restore(machine.snapshot())
    assert list(copy.history) == list(machine.history)
    assert copy.history.size_bytes == machine.history.size_bytes


def test_one_change_beyond_the_limit_is_kept(machine, make, monkeypatch):
    monkeypatch.setattr(_history, "MAX_BYTES", 1_000)
    make.command(machine, 1, model.Change("a", 0, "op", drains(2)))
    assert [accepted.revision for accepted in machine.history] == [1]


def test_small_changes_are_limited_in_number(machine, make):
    for index in range(1, 1_003):
        change = model.Change(f"c{index}", index - 1, "op", drains(0))
        make.command(machine, index, change)
    assert len(machine.history) == 1_000
    assert next(iter(machine.history)).revision == 3
    assert next(reversed(machine.history)).revision == 1_002
