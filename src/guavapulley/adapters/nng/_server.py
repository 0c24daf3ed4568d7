"""Serves calls of peers on an nng Rep0 socket; each call has a task."""

import pynng
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import clock as clocks
from guavapulley.adapters import codec

MAX_MESSAGE_BYTES = 8 * 1_048_576
MAX_CONCURRENT_CALLS = 512


async def serve_peers(
    address: model.NodeAddress,
    handler: ports.PeerHandler,
    envelopes: codec.EnvelopeCodec,
    sender: str,
    clock: clocks.LamportClock,
    events: ports.EventLog,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves calls until cancelled.

    Args:
        address: Address to listen on.
        handler: Handles the calls.
        envelopes: Codec with the cluster key.
        sender: Name of this process.
        clock: Lamport clock of this process.
        events: Receives rejected and failed calls.
        task_status: Reports the start when the socket listens.

    Raises:
        PeerError: The server cannot listen on the address.
    """
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_CALLS)
    with pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES) as socket:
        try:
            socket.listen(f"tcp://{address}")
        except pynng.NNGException as error:
            raise ports.PeerError(
                ports.PEER_UNREACHABLE, f"cannot listen on {address}: {error}"
            ) from error
        task_status.started()
        async with trio.open_nursery() as nursery:
            while True:
                context = socket.new_context()
                data = await _receive(context)
                await limiter.acquire_on_behalf_of(context)
                call = _Call(handler, envelopes, sender, clock, events)
                nursery.start_soon(call.run, context, data, limiter)


async def _receive(context: pynng.Context) -> bytes:
    try:
        data: bytes = await context.arecv()
    except BaseException:
        # A context that outlives its socket fails when it is garbage-collected.
        context.close()
        raise
    return data


class _Call:
    """One call of a peer."""

    def __init__(
        self,
        handler: ports.PeerHandler,
        envelopes: codec.EnvelopeCodec,
        sender: str,
        clock: clocks.LamportClock,
        events: ports.EventLog,
    ) -> None:
        self.handler = handler
        self.envelopes = envelopes
        self.sender = sender
        self.clock = clock
        self.events = events

    async def run(
        self, context: pynng.Context, data: bytes, limiter: trio.CapacityLimiter
    ) -> None:
        """Handles the call and sends its reply."""
        try:
            reply = await self._handle(data)
            if reply is not None:
                envelope = codec.Envelope(self.sender, self.clock.tick(), reply)
                await context.asend(self.envelopes.encode(envelope))
        except pynng.NNGException as error:
            self.events.write("peer:reply_failed", reason=str(error))
        finally:
            limiter.release_on_behalf_of(context)
            context.close()

    async def _handle(self, data: bytes) -> model.PeerMessage | None:
        try:
            envelope = self.envelopes.decode(data)
        except codec.CodecError as error:
            self.events.write("peer:rejected", code=error.code)
            return None
        self.clock.observe(envelope.clock)
        return await codec.handle_call(
            self.handler, envelope.message, self.events
        )
