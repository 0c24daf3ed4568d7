"""Detection of steps of the wall clock and pauses of the process."""

from collections.abc import Callable

import trio

from guavapulley import ports

CHECK_INTERVAL_S = 0.5
# Clock synchronization normally sets the clock by less than this.
MIN_STEP_S = 0.25
# A process that wakes up later than this has hardly run in between.
MIN_PAUSE_S = 0.5


async def monitor_clock(
    events: ports.EventLog, unix_time_s: Callable[[], float]
) -> None:
    """Compares the wall clock with trio's clock until cancelled.

    Timeouts only use trio's clock. The wall clock dates events, so a reported
    step explains an inconsistent order of events from several machines.

    Args:
        events: Event log for `clock:stepped` and `process:paused`.
        unix_time_s: Returns the Unix time in seconds.
    """
    last_s, last_unix_s = trio.current_time(), unix_time_s()
    while True:
        await trio.sleep(CHECK_INTERVAL_S)
        now_s, now_unix_s = trio.current_time(), unix_time_s()
        elapsed_s = now_s - last_s
        step_s = now_unix_s - last_unix_s - elapsed_s
        if abs(step_s) > MIN_STEP_S:
            events.write("clock:stepped", by_s=round(step_s, 3))
        if elapsed_s - CHECK_INTERVAL_S > MIN_PAUSE_S:
            late_s = round(elapsed_s - CHECK_INTERVAL_S, 3)
            events.write("process:paused", late_s=late_s)
        last_s, last_unix_s = now_s, now_unix_s
