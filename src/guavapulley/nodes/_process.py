"""Settings, servers and signals that core and edge nodes share."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import signal

import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import clock
from guavapulley.adapters import codec
from guavapulley.adapters import http1
from guavapulley.adapters import logs
from guavapulley.adapters import prometheus
from guavapulley.adapters import stream
from guavapulley.nodes import _clock_monitor
from guavapulley.nodes import _settings

STDOUT_FD = 1
# The settings file is polled because it may change without a signal, and a
# machine that cannot reach its former seeds needs the new ones.
SETTINGS_CHECK_INTERVAL_S = 2.0
EXIT_FAILURE = 1
# Fractions of the memory limit that the bodies of callers' requests, and those
# of upstreams' answers, may occupy while they are received.
REQUEST_MEMORY_FRACTION = 0.25
ANSWER_MEMORY_FRACTION = 0.125

# Errors that a loader raises for invalid or partly written settings.
SETTINGS_ERRORS = (OSError, ValueError, KeyError, TypeError)

SettingsLoader = Callable[[], _settings.NodeSettings]


class Node:
    """Adapters and settings of a node.

    Args:
        load: Reads the settings.
        message_codec: Codec of peer messages.
        events: Event log.
        nursery: Runs the HTTP servers and the connections to peers.

    Attributes:
        settings: The last valid settings.
        metrics: Metrics of the process.
        dialer: Makes clients of peers.
        request_budget: Limit on the bodies of all requests being received.
        answer_budget: Limit on the bodies of all answers being received.
    """

    def __init__(
        self,
        load: SettingsLoader,
        message_codec: codec.MessageCodec,
        events: ports.EventLog,
        nursery: trio.Nursery,
    ) -> None:
        self.load = load
        self.message_codec = message_codec
        self.events = events
        self.nursery = nursery
        self.settings = load()
        self.metrics = prometheus.PrometheusMetrics()
        max_memory_bytes = self.settings.max_memory_bytes
        self.request_budget = _create_body_budget(
            max_memory_bytes, REQUEST_MEMORY_FRACTION
        )
        self.answer_budget = _create_body_budget(
            max_memory_bytes, ANSWER_MEMORY_FRACTION
        )
        self.dialer = stream.StreamDialer(
            message_codec,
            nursery,
            self.settings.peer_address.host,
            events,
            self.metrics,
        )

    def reload(self) -> None:
        """Reads the settings again; invalid settings are logged and ignored."""
        try:
            self.settings = self.load()
        except SETTINGS_ERRORS as error:
            self.events.write("settings:rejected", reason=repr(error))
            return
        self.events.write(
            "settings:reloaded", seeds=[str(s) for s in self.settings.seeds]
        )

    async def watch_settings(self) -> None:
        """Reloads the settings when they change, until cancelled."""
        while True:
            await trio.sleep(SETTINGS_CHECK_INTERVAL_S)
            try:
                changed = self.load() != self.settings
            except SETTINGS_ERRORS:
                changed = True  # The reload logs the error.
            if changed:
                self.reload()

    async def serve(
        self,
        address: model.NodeAddress | None,
        handler: http1.AnswerHandler,
        limits: Callable[[], model.CallerLimits] = model.CallerLimits,
        state: http1.ServerState | None = None,
    ) -> None:
        """Starts an HTTP server, unless the address is None.

        Args:
            address: Address to listen on; None for no server.
            handler: Handler of the requests.
            limits: Returns the limits of callers.
            state: State that stops the server gracefully, if any.
        """
        if address is None:
            return

        server_state = state or http1.ServerState(
            body_budget=self.request_budget
        )

        async def run(task_status: trio.TaskStatus[None]) -> None:
            await http1.serve_http1(
                address,
                handler,
                limits,
                self.events,
                server_state,
                task_status=task_status,
            )

        await self.nursery.start(run)

    async def wait_for_stop_signal(self) -> None:
        """Waits for SIGTERM or SIGINT; SIGHUP reloads the settings."""
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for number in signals:
                if number != signal.SIGHUP:
                    return
                self.reload()


def _create_body_budget(
    max_memory_bytes: int | None, fraction: float
) -> http1.BodyBudget:
    if max_memory_bytes is None:
        return http1.BodyBudget()
    return http1.BodyBudget(int(max_memory_bytes * fraction))


@contextlib.asynccontextmanager
async def open_node(
    load: SettingsLoader, message_codec: codec.MessageCodec
) -> AsyncIterator[Node]:
    """Opens a node, and cancels its tasks on exit.

    Args:
        load: Reads the settings.
        message_codec: Codec of peer messages.

    Raises:
        OSError: The settings cannot be read.
        SystemExit: The node ended by an error; the event log has its code.
    """
    settings = load()
    events = logs.EliotEventLog(
        logs.StreamSink(STDOUT_FD),
        settings.name,
        settings.role,
        clock.LamportClock(),
    )
    try:
        with logs.log_process_lifecycle(
            events, first_start=settings.first_start
        ):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    _clock_monitor.monitor_clock, events, clock.unix_time_s
                )
                node = Node(load, message_codec, events, nursery)
                nursery.start_soon(node.watch_settings)
                yield node
                nursery.cancel_scope.cancel()
    except errors.GuavapulleyError as error:
        raise SystemExit(EXIT_FAILURE) from error
