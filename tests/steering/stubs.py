"""An entry's view of the system that tests can change."""

import random

import attrs
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley import steering

ADDRESS = model.NodeAddress("127.0.0.1", 1)


def record(name, region="pb", domain="pb1", slots=3, service="s", **fields):
    return model.UpstreamRecord(
        name, service, ADDRESS, region, domain, slots, 330, **fields
    )


def entry(name, region="pb", **in_flight):
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
    """`ports.SteeringView` with fixed contents."""

    records: list = attrs.field(factory=list)
    objects: tuple = ()
    entries: list = attrs.field(factory=lambda: [entry("e1")])
    is_detached: bool = False
    first_seen_s: float = 0.0
    current: model.Configuration = model.Configuration()
    known: dict = attrs.field(factory=dict)

    def configuration(self):
        if self.current.objects != self.objects:
            self.current = model.Configuration(1, self.objects)
        return self.current

    def detached(self):
        return self.is_detached

    def upstreams(self, service):
        for item in self.records:
            if item.upstream not in self.known:
                self.known[item.upstream] = ports.KnownUpstream(
                    item, trio.current_time(), self.first_seen_s
                )
            elif self.known[item.upstream].record is not item:
                self.known[item.upstream] = attrs.evolve(
                    self.known[item.upstream], record=item
                )
        return [
            self.known[r.upstream] for r in self.records if r.service == service
        ]

    def live_entries(self):
        return self.entries


def request(number=0, **fields):
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
