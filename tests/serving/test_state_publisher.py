"""Guards against gossip of an entry as ready while it is not."""

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley import serving

STATE = model.EntryState


class Member:
    def __init__(self):
        self.state = None
        self.status = None

    def set_state(self, state):
        self.state = state

    def set_status(self, revision, in_flight, claims):
        self.status = (revision, in_flight, claims)


class Steerer:
    def in_flight(self):
        return {"u1": 2}

    def claims(self):
        return {"stock/pb": 3}


async def test_state_revision_and_counts_are_gossiped(memory, autojump_clock):
    source, member = memory.Source(), Member()
    watcher = serving.ConfigurationWatcher(
        "e1", source, lambda: 0, ports.NullEventLog()
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serving.publish_state, watcher, Steerer(), member)
        await trio.sleep(1)
        assert member.state is STATE.STARTING
        nursery.start_soon(watcher.run)
        await trio.sleep(1)
        assert member.state is STATE.ALIVE
        assert member.status == (5, {"u1": 2}, {"stock/pb": 3})
        watcher.confirmed_at_s = -100.0
        await trio.sleep(0.3)
        assert member.state is STATE.DETACHED
        nursery.cancel_scope.cancel()
