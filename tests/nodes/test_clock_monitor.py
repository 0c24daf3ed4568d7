"""Guards against clock steps and process pauses that are not logged."""

import attrs
import pytest
import trio

from guavapulley.nodes import _clock_monitor


@attrs.define
class WallClock:
    """A wall clock that can be stepped, and an event log."""

    offset_s: float = 1_700_000_000.0
    events: list = attrs.field(factory=list)

    def unix_time_s(self):
        return trio.current_time() + self.offset_s

    def write(self, event, **fields):
        self.events.append((event, fields))


@pytest.mark.parametrize("jump_s", [2.0, -2.0])
async def test_a_clock_step_is_reported_once_with_its_size(
    autojump_clock, nursery, jump_s
):
    clock = WallClock()
    nursery.start_soon(_clock_monitor.monitor_clock, clock, clock.unix_time_s)
    await trio.sleep(2)
    assert clock.events == []
    clock.offset_s += jump_s
    await trio.sleep(2)
    assert clock.events == [("clock:stepped", {"by_s": jump_s})]


async def test_a_pause_is_reported_with_its_length(mock_clock, nursery):
    clock = WallClock()
    nursery.start_soon(_clock_monitor.monitor_clock, clock, clock.unix_time_s)
    await trio.testing.wait_all_tasks_blocked()
    mock_clock.jump(4.5)
    await trio.testing.wait_all_tasks_blocked()
    assert clock.events == [("process:paused", {"late_s": 4.0})]
