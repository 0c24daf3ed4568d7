"""Calls to a peer over an nng Req0 socket."""

import pynng
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import clock as clocks
from guavapulley.adapters import codec

RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1_000
# nng must not resend requests: only the caller decides whether to retry a call.
RESEND_DISABLED_MS = -1


class NngPeerClient:
    """Calls one peer; each call uses a separate nng context."""

    def __init__(
        self,
        address: model.NodeAddress,
        envelopes: codec.EnvelopeCodec,
        sender: str,
        clock: clocks.LamportClock,
        source_host: str | None = None,
    ) -> None:
        self.address = address
        self.envelopes = envelopes
        self.sender = sender
        self.clock = clock
        self.socket = pynng.Req0(resend_time=RESEND_DISABLED_MS)
        self.socket.reconnect_time_min = RECONNECT_MIN_MS
        self.socket.reconnect_time_max = RECONNECT_MAX_MS
        source = f"{source_host};" if source_host else ""
        self.socket.dial(f"tcp://{source}{address}", block=False)

    async def call(
        self, request: model.PeerMessage, timeout_s: float
    ) -> model.PeerMessage:
        """Sends a request and returns the reply; see `ports.PeerClient`."""
        data = self.envelopes.encode(
            codec.Envelope(self.sender, self.clock.tick(), request)
        )
        try:
            with trio.fail_after(timeout_s):
                reply_data = await self._send_and_receive(data)
        except trio.TooSlowError as error:
            raise ports.PeerError(
                ports.CALL_TIMEOUT, f"{self.address} did not answer"
            ) from error
        except pynng.NNGException as error:
            raise ports.PeerError(
                ports.PEER_UNREACHABLE, f"{self.address}: {error}"
            ) from error
        return self._decode_reply(reply_data)

    async def _send_and_receive(self, data: bytes) -> bytes:
        context = self.socket.new_context()
        try:
            await context.asend(data)
            reply_data: bytes = await context.arecv()
        finally:
            context.close()
        return reply_data

    def _decode_reply(self, reply_data: bytes) -> model.PeerMessage:
        try:
            envelope = self.envelopes.decode(reply_data)
        except codec.CodecError as error:
            raise ports.PeerError(error.code, error.message) from error
        self.clock.observe(envelope.clock)
        # The tag proves that a process of the cluster created the reply.
        return codec.unwrap_reply(envelope.message)

    async def aclose(self) -> None:
        """Closes the socket."""
        self.socket.close()


class NngDialer:
    """Creates clients that share a key, a name and a clock.

    Args:
        envelopes: Codec with the cluster key.
        sender: Name of this process.
        clock: Lamport clock of this process.
        source_host: IP address to connect from; None for any. On a VM with
            several addresses it makes peers and firewalls see the address that
            this process announces.
    """

    def __init__(
        self,
        envelopes: codec.EnvelopeCodec,
        sender: str,
        clock: clocks.LamportClock,
        source_host: str | None = None,
    ) -> None:
        self.envelopes = envelopes
        self.sender = sender
        self.clock = clock
        self.source_host = source_host

    def dial(self, address: model.NodeAddress) -> NngPeerClient:
        """Returns a client that connects in the background."""
        return NngPeerClient(
            address, self.envelopes, self.sender, self.clock, self.source_host
        )
