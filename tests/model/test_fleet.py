"""Guards against batches of commands that differ from single commands."""

import random

import attrs
import pytest

from guavapulley import model

RECORD = model.UpstreamRecord(
    "u0", "stock", model.NodeAddress("10.0.0.1", 80), "pb", "pb-1", 3, 0
)
NODE = model.NodeRecord(
    "entry-0", "pb", "pb-1", model.NodeAddress("10.0.0.2", 80), "i"
)


def draw_command(rng):
    """Returns a command on few names and addresses, so that they conflict."""
    name = f"u{rng.randrange(4)}"
    match rng.randrange(5):
        case 0:
            return model.RemoveUpstream(name, None, final=False)
        case 1:
            return model.RecordNode(
                attrs.evolve(NODE, name=f"entry-{rng.randrange(3)}")
            )
        case 2:
            return model.RemoveNode(f"entry-{rng.randrange(3)}", "i")
        case 3:
            return model.SetEvacuation(
                f"pb-{rng.randrange(2)}", rng.random() < 0.5
            )
    address = model.NodeAddress("10.0.0.1", rng.randrange(80, 84))
    return model.RecordUpstream(
        attrs.evolve(RECORD, upstream=name, address=address)
    )


@pytest.mark.parametrize("seed", range(20))
def test_a_batch_of_commands_equals_the_single_commands(seed):
    rng = random.Random(seed)
    commands = [draw_command(rng) for _ in range(50)]
    one_by_one = model.FleetState()
    for command in commands:
        one_by_one = model.apply_fleet_command(one_by_one, command)
    batch = model.apply_fleet_commands(model.FleetState(), commands)
    assert batch == one_by_one
    addresses = [record.address for record in batch.upstreams]
    assert len(addresses) == len(set(addresses))


def test_fields_that_no_command_changes_stay_the_same_objects():
    # Entries skip the records and nodes of an unchanged field.
    state = model.apply_fleet_commands(
        model.FleetState(),
        (model.RecordUpstream(RECORD), model.RecordNode(NODE)),
    )
    changed = model.apply_fleet_command(
        state, model.SetEvacuation("pb-1", True)
    )
    assert changed.upstreams is state.upstreams
    assert changed.nodes is state.nodes
