"""Stub of the view of an entry, and factories for its contents."""

import random

import attrs
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley import steering

ADDRESS = model.NodeAddress("127.0.0.1", 1)


def make_record(
    name, region="pb", domain="pb1", slots=3, service="s", **fields
):
    return model.UpstreamRecord(
        name, service, ADDRESS, region, domain, slots, 330, **fields
    )


def make_entry(name, region="pb", **in_flight):
    return model.EntryRecord(
        name,
        region,
        region + "1",
        ADDRESS,
        ADDRESS,
        1,
        1,
        model.EntryState.ALIVE,
        in_flight=in_flight,
    )


@attrs.define
class View:
    """`ports.SteeringView` whose contents tests can replace."""

    records: list = attrs.field(factory=list)
    objects: tuple = ()
    entries: list = attrs.field(factory=lambda: [make_entry("e1")])
    detached: bool = False
    first_seen_s: float = 0.0
    current: model.Configuration = model.Configuration()
    observations: dict = attrs.field(factory=dict)

    def configuration(self):
        if self.current.objects != self.objects:
            self.current = model.Configuration(1, self.objects)
        return self.current

    def is_detached(self):
        return self.detached

    def upstreams(self, service):
        for record in self.records:
            if record.upstream not in self.observations:
                self.observations[record.upstream] = ports.UpstreamObservation(
                    record, trio.current_time(), self.first_seen_s
                )
            elif self.observations[record.upstream].record is not record:
                self.observations[record.upstream] = attrs.evolve(
                    self.observations[record.upstream], record=record
                )
        return [
            self.observations[r.upstream]
            for r in self.records
            if r.service == service
        ]

    def live_entries(self):
        return self.entries


def make_request(number=0, **fields):
    defaults = {
        "request_id": f"r{number}",
        "service": "s",
        "method": "GET",
        "path": "/",
    }
    return model.SteeredRequest(**(defaults | fields))


def make_steerer(view, **options):
    return steering.Steerer(
        view,
        "e1",
        "pb",
        ports.NullEventLog(),
        ports.NullMetrics(),
        random.Random(1),
        **options,
    )
