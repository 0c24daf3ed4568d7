"""Adapters and signal handling shared by the long-running roles."""

from collections.abc import Iterator
import contextlib
import signal

import attrs
import trio

from guavapulley import control
from guavapulley import ports
from guavapulley.adapters import clock as clocks
from guavapulley.adapters import codec
from guavapulley.adapters import logs
from guavapulley.adapters import metrics
from guavapulley.adapters import nng
from guavapulley.adapters import settings


@attrs.frozen
class ProcessContext:
    """Adapters of one process.

    Attributes:
        settings: Settings of the process.
        clock: Lamport clock.
        events: Event log.
        metrics: Metrics.
        message_codec: Codec of messages and log commands.
        envelope_codec: Codec of authenticated peer messages.
        dialer: Creates clients for peers.
    """

    settings: settings.ProcessSettings
    clock: clocks.LamportClock
    events: logs.EliotEventLog
    metrics: ports.Metrics
    message_codec: codec.MessageCodec
    envelope_codec: codec.EnvelopeCodec
    dialer: nng.NngDialer


@contextlib.contextmanager
def process_context(
    process_settings: settings.ProcessSettings,
) -> Iterator[ProcessContext]:
    """Creates the adapters of a process and closes its log at the end.

    An error that ends the process is logged with its code.

    Raises:
        LogError: The log file cannot be opened.
    """
    clock = clocks.LamportClock()
    events = logs.EliotEventLog(
        process_settings.log_file,
        process_settings.node,
        process_settings.role,
        clock,
        process_settings.secrets(),
    )
    message_codec = codec.MessageCodec(control.CODEC_TYPES)
    envelope_codec = codec.EnvelopeCodec(
        message_codec, process_settings.cluster_key
    )
    context = ProcessContext(
        process_settings,
        clock,
        events,
        _create_metrics(process_settings),
        message_codec,
        envelope_codec,
        nng.NngDialer(
            envelope_codec,
            process_settings.node,
            clock,
            process_settings.peer.host,
        ),
    )
    with logs.log_process_lifecycle(events):
        yield context


def _create_metrics(
    process_settings: settings.ProcessSettings,
) -> ports.Metrics:
    if process_settings.statsd is None:
        return ports.NullMetrics()
    return metrics.StatsdMetrics(
        process_settings.statsd, process_settings.node, process_settings.role
    )


async def wait_for_stop_signal() -> int:
    """Waits for SIGTERM or SIGINT and returns the number of the signal."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signal_number in signals:
            return int(signal_number)
    raise AssertionError("the signal receiver ended")
