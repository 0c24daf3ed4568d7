"""A fleet state machine, and builders of commands and records for it."""

import attrs
import pytest

from guavapulley import fleet
from guavapulley import model
from guavapulley.adapters import codec

CODEC = codec.MessageCodec(fleet.CODEC_TYPES)

UPSTREAM = model.UpstreamRecord(
    upstream="u1",
    service="stock",
    address=model.NodeAddress("10.0.0.1", 80),
    region="bkk",
    failure_domain="bkk-a",
    slots=3,
    max_connections=0,
    incarnation=100,
    sequence=1,
)


def upstream(**changes):
    return attrs.evolve(UPSTREAM, **changes)


def route(name="r", **changes):
    base = model.Route(
        name,
        "shop.example",
        "/stock/",
        model.Repeatability.IDEMPOTENT,
        1.0,
        0.4,
        1,
        (model.Destination("stock"),),
        max_attempts=2,
    )
    return attrs.evolve(base, **changes)


def change(version, base_version, replace=True, **fields):
    fields.setdefault("routes", (route(),))
    fields.setdefault("services", (model.ServicePolicy("stock"),))
    fields.setdefault("content_hash", f"{version}/{base_version}")
    return model.ChangeRouting(
        model.RoutingChange(version, base_version, replace, **fields)
    )


class MachineLog:
    """Applies commands to a state machine at increasing log indexes."""

    def __init__(self):
        self.machine = fleet.FleetStateMachine(CODEC)
        self.index = 0

    def apply(self, command):
        self.index += 1
        payload = CODEC.encode(model.ProposeCommand(command))
        return self.machine.apply(self.index, payload)


@pytest.fixture
def log():
    return MachineLog()
