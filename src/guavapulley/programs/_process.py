"""What every long-running process has: log, metrics, signals, a stop."""

from collections.abc import Awaitable
from collections.abc import Callable
import signal

import attrs
import trio

from guavapulley import errors
from guavapulley import ports
from guavapulley.adapters import logs
from guavapulley.adapters import metrics
from guavapulley.adapters import nng
from guavapulley.adapters import settings as settings_adapter
from guavapulley.programs import _groups


@attrs.frozen
class Process:
    """What a process gives to its role.

    Attributes:
        settings: Its settings.
        events: Event log.
        metrics: Metrics.
        clock: Lamport clock of the process.
        stopping: Set by the first signal; the role then ends in good order.
    """

    settings: settings_adapter.ProcessSettings
    events: ports.EventLog
    metrics: ports.Metrics
    clock: nng.LamportClock
    stopping: trio.Event


Role = Callable[[Process], Awaitable[None]]


def run(settings: settings_adapter.ProcessSettings, role: Role) -> None:
    """Runs a role until it ends.

    SIGTERM and SIGINT ask it to stop in good order; the second signal ends it
    at once.

    Args:
        settings: Settings of the process.
        role: Runs until `Process.stopping` is set and its work is done.

    Raises:
        GuavapulleyError: The role failed; the error has been logged.
    """
    clock = nng.LamportClock()
    events = logs.EliotEventLog(
        settings.log_file,
        settings.node,
        settings.role.value,
        clock,
        settings.secrets(),
    )
    sender: ports.Metrics = ports.NullMetrics()
    if settings.statsd is not None:
        sender = metrics.StatsdMetrics(
            settings.statsd, settings.node, settings.role.value
        )
    process = Process(settings, events, sender, clock, trio.Event())
    try:
        with _groups.single_error():
            trio.run(_run, process, role)
    except errors.GuavapulleyError as error:
        events.write("process:failed", code=error.code, reason=error.message)
        raise
    finally:
        events.write("process:ended")
        events.close()


async def _run(process: Process, role: Role) -> None:
    async with trio.open_nursery() as nursery:
        await nursery.start(_watch_signals, process, nursery.cancel_scope)
        process.events.write("process:started")
        await role(process)
        nursery.cancel_scope.cancel()


async def _watch_signals(
    process: Process,
    scope: trio.CancelScope,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        task_status.started()
        async for number in received:
            name = signal.Signals(number).name
            process.events.write("process:signal", signal=name)
            if process.stopping.is_set():
                scope.cancel()
            process.stopping.set()
