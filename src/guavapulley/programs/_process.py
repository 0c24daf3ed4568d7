"""What the long-running roles share."""

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
        settings: Its settings.
        clock: Its Lamport clock.
        events: Its event log.
        metrics: Its metrics.
        messages: Codec of messages and log commands.
        envelopes: Codec of peer messages.
        dialer: Makes clients of peers.
    """

    settings: settings.ProcessSettings
    clock: clocks.LamportClock
    events: logs.EliotEventLog
    metrics: ports.Metrics
    messages: codec.MessageCodec
    envelopes: codec.EnvelopeCodec
    dialer: nng.NngDialer


@contextlib.contextmanager
def process_context(
    loaded: settings.ProcessSettings,
) -> Iterator[ProcessContext]:
    """Opens the adapters of a process and closes its log at the end.

    An error that ends the process is logged with its code.

    Raises:
        LogError: The log file cannot be opened.
    """
    clock = clocks.LamportClock()
    events = logs.EliotEventLog(
        loaded.log_file, loaded.node, loaded.role, clock, loaded.secrets()
    )
    messages = codec.MessageCodec(control.CODEC_TYPES)
    envelopes = codec.EnvelopeCodec(messages, loaded.cluster_key)
    context = ProcessContext(
        loaded,
        clock,
        events,
        _metrics(loaded),
        messages,
        envelopes,
        nng.NngDialer(envelopes, loaded.node, clock, loaded.peer.host),
    )
    with logs.log_process_lifecycle(events):
        yield context


def _metrics(loaded: settings.ProcessSettings) -> ports.Metrics:
    if loaded.statsd is None:
        return ports.NullMetrics()
    return metrics.StatsdMetrics(loaded.statsd, loaded.node, loaded.role)


async def wait_for_signal() -> int:
    """Waits for a request to stop and returns the number of its signal."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for number in received:
            return int(number)
    raise AssertionError("the signal receiver ended")
