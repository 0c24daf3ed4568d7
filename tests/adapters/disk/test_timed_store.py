"""Guards against disks that stall without an event in the log."""

import attrs
import pytest
import trio

from guavapulley import ports
from guavapulley.adapters import disk


@attrs.define
class SlowStore:
    """Store that takes some time to save a vote and may fail."""

    took_s: float
    fails: bool = False

    async def save_vote(self, term, voted_for):
        await trio.sleep(self.took_s)
        if self.fails:
            raise ports.DiskError(ports.DISK_FAILED, "broken")


@attrs.define
class Recorder:
    """Records events with their times, and durations by name."""

    events: list = attrs.field(factory=list)
    timings: dict = attrs.field(factory=dict)

    def write(self, event, **fields):
        self.events.append((event, trio.current_time()))

    def timing(self, name, milliseconds):
        self.timings[name] = milliseconds


@pytest.mark.parametrize(
    ("took_s", "events"),
    [(0.005, []), (3.0, ["disk:stalled", "disk:resumed"])],
)
async def test_a_stall_is_reported_while_it_lasts(
    autojump_clock, nursery, took_s, events
):
    recorder = Recorder()
    store = disk.TimedStore(SlowStore(took_s), recorder, recorder)
    nursery.start_soon(store.report_stalls)
    started_s = trio.current_time()
    await store.save_vote(1, None)
    assert [name for name, _ in recorder.events] == events
    assert all(at_s - started_s < 1 for _, at_s in recorder.events[:1])
    assert recorder.timings["disk.vote"] == pytest.approx(took_s * 1000)


async def test_an_error_of_the_store_is_propagated_unchanged(autojump_clock):
    # The replica stops on this error and on no other.
    recorder = Recorder()
    store = disk.TimedStore(SlowStore(0.1, fails=True), recorder, recorder)
    with pytest.raises(ports.DiskError):
        await store.save_vote(1, None)
    assert store.pending_calls == []
