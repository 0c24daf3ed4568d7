"""Guards against logs that others can fill at will."""

import trio

from guavapulley import ports


class Recorder:
    def __init__(self):
        self.recorded = []

    def write(self, event, **fields):
        self.recorded.append((event, fields))


async def test_events_of_a_name_are_limited_and_counted(autojump_clock):
    log = Recorder()
    limiter = ports.EventLimiter(log, 1.0)
    for _ in range(12):
        limiter.write("a:b", field=1)
        limiter.write("c:d")
        await trio.sleep(0.25)
    counts = [fields["omitted"] for event, fields in log.recorded]
    assert [event for event, _ in log.recorded] == ["a:b", "c:d"] * 3
    assert counts == [0, 0, 3, 3, 3, 3]
    assert log.recorded[0][1]["field"] == 1
