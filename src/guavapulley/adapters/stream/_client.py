"""Calls to a peer over one TCP connection."""

import itertools
import struct

import attrs
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import codec
from guavapulley.adapters.stream import _frames

# Several round trips between regions. A machine without power never answers,
# and a lost SYN packet is retransmitted only after one second.
CONNECT_TIMEOUT_S = 0.5
# `struct linger` with a timeout of 0 s: a close discards the bytes that the
# peer has not received, and resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.frozen
class TrafficCounter:
    """Counts the bytes of messages exchanged with one peer.

    Attributes:
        metrics: Receives the byte counts as `peer_bytes`.
        peer: Host of the peer.
    """

    metrics: ports.Metrics
    peer: str

    def record_sent(self, size: int) -> None:
        """Adds to the number of sent bytes."""
        self._record("sent", size)

    def record_received(self, size: int) -> None:
        """Adds to the number of received bytes."""
        self._record("received", size)

    def _record(self, direction: str, size: int) -> None:
        self.metrics.increment(
            "peer_bytes", size, peer=self.peer, direction=direction
        )


@attrs.define
class _PendingCall:
    """A call that waits for its reply.

    Attributes:
        timeout_s: Timeout in seconds since the start of the call or the last
            progress of a large message on the connection.
        scope: Cancels the call at its timeout.
        done: Set when the reply has arrived or the connection is closed.
        reply: Encoded reply; None if there is none.
    """

    timeout_s: float
    scope: trio.CancelScope
    done: trio.Event = attrs.field(factory=trio.Event)
    reply: bytes | None = None

    def postpone_timeout(self) -> None:
        """Restarts the timeout."""
        deadline_s = trio.current_time() + self.timeout_s
        self.scope.deadline = max(self.scope.deadline, deadline_s)


class _Connection:
    """An open connection with its pending calls.

    Attributes:
        pending: Pending calls by call number.
        last_contact_s: When a reply or a part of one was last received, or
            else when the connection was opened, on trio's clock.
    """

    def __init__(
        self, stream: trio.SocketStream, traffic: TrafficCounter
    ) -> None:
        self.stream = stream
        self.traffic = traffic
        self.pending: dict[int, _PendingCall] = {}
        self.write_lock = trio.Lock()
        self.last_contact_s = trio.current_time()
        self.closed = False

    async def receive(self) -> None:
        """Passes replies to the pending calls until the connection ends."""
        try:
            async for call_number, message in _frames.read_frames(
                self.stream, self._record_reply_progress
            ):
                self.last_contact_s = trio.current_time()
                self.traffic.record_received(len(message))
                pending_call = self.pending.pop(call_number, None)
                if pending_call is not None:
                    pending_call.reply = message
                    pending_call.done.set()
        except (_frames.FrameError, trio.BrokenResourceError):
            pass  # close() wakes the pending calls.
        except trio.ClosedResourceError:
            pass
        finally:
            self.close()

    def _record_reply_progress(self) -> None:
        self.last_contact_s = trio.current_time()
        self._postpone_timeouts()

    def _postpone_timeouts(self) -> None:
        """Restarts the timeouts of all calls while a large message passes.

        The message can be the reply or the request of any of them, and the
        messages of the others wait behind it.
        """
        for pending_call in self.pending.values():
            pending_call.postpone_timeout()

    async def send(self, frame: bytes) -> None:
        """Sends a frame; closes the connection if only a part is sent.

        Raises:
            trio.BrokenResourceError: The connection is broken.
        """
        async with self.write_lock:
            complete = False
            try:
                await _frames.send_frame(
                    self.stream, frame, self._postpone_timeouts
                )
                complete = True
                self.traffic.record_sent(len(frame))
            finally:
                if not complete:
                    self.close()

    def reset(self) -> None:
        """Closes the connection and discards the bytes that it holds.

        A partition would otherwise deliver messages that no caller waits for
        any more once it has ended.
        """
        if not self.closed:
            self.stream.setsockopt(
                trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.close()

    def close(self) -> None:
        """Closes the connection and ends the pending calls without reply."""
        self.closed = True
        self.stream.socket.close()
        for pending_call in self.pending.values():
            pending_call.done.set()
        self.pending.clear()


class StreamPeerClient:
    """Calls one peer; a call without an open connection reconnects.

    When a call times out and nothing was received since it started, the
    connection is reset: one to a dead machine is never closed by the peer.

    The timeout of a call restarts while a large message makes progress on the
    connection, so that a message of any size passes a slow link.

    Args:
        address: Peer address.
        messages: Codec of the messages.
        nursery: Runs the receiving task of each connection.
        source_host: IP address to connect from; None for any.
        events: Receives `peer:lost` and `peer:regained`.
        metrics: Receives the number of bytes sent and received.

    Attributes:
        lost: Whether the last call failed to get a reply.
    """

    def __init__(
        self,
        address: model.NodeAddress,
        messages: codec.MessageCodec,
        nursery: trio.Nursery,
        source_host: str | None,
        events: ports.EventLog,
        metrics: ports.Metrics,
    ) -> None:
        self.address = address
        self.messages = messages
        self.nursery = nursery
        self.source_host = source_host
        self.events = events
        self.traffic = TrafficCounter(metrics, address.host)
        self.lost = False
        self.connection: _Connection | None = None
        self.connect_lock = trio.Lock()
        self.call_numbers = itertools.count(1)

    async def call(
        self, request: model.PeerMessage, timeout_s: float
    ) -> model.PeerMessage:
        """Sends a request and returns the reply; see `ports.PeerClient`."""
        try:
            reply = await self._get_reply(request, timeout_s)
        except ports.PeerError as error:
            if not self.lost:
                self.lost = True
                self.events.write(
                    "peer:lost", peer=str(self.address), code=error.code
                )
            raise
        if self.lost:
            self.lost = False
            self.events.write("peer:regained", peer=str(self.address))
        return self._decode(reply)

    async def _get_reply(
        self, request: model.PeerMessage, timeout_s: float
    ) -> bytes:
        data = self.messages.encode(request)
        reply: bytes | None = None
        started_s = trio.current_time()
        with trio.move_on_after(timeout_s) as scope:
            reply = await self._send_and_wait(
                data, _PendingCall(timeout_s, scope)
            )
        if scope.cancelled_caught:
            self._close_if_silent(started_s)
            raise ports.PeerError(
                ports.CALL_TIMEOUT, f"{self.address} did not answer"
            )
        if reply is None:
            raise ports.PeerError(
                ports.PEER_UNREACHABLE, f"{self.address} closed the connection"
            )
        return reply

    async def _send_and_wait(
        self, data: bytes, pending_call: _PendingCall
    ) -> bytes | None:
        connection = await self._get_connection()
        call_number = next(self.call_numbers) & 0xFFFFFFFF
        connection.pending[call_number] = pending_call
        try:
            await connection.send(_frames.pack(call_number, data))
            await pending_call.done.wait()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            connection.close()
        finally:
            connection.pending.pop(call_number, None)
        return pending_call.reply

    async def _get_connection(self) -> _Connection:
        async with self.connect_lock:
            if self.connection is None or self.connection.closed:
                self.connection = _Connection(
                    await self._connect(), self.traffic
                )
                self.nursery.start_soon(self.connection.receive)
            return self.connection

    async def _connect(self) -> trio.SocketStream:
        socket = trio.socket.socket()
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                if self.source_host is not None:
                    await socket.bind((self.source_host, 0))
                await socket.connect((self.address.host, self.address.port))
        except (OSError, trio.TooSlowError) as error:
            socket.close()
            raise ports.PeerError(
                ports.PEER_UNREACHABLE, f"{self.address}: {error!r}"
            ) from error
        except BaseException:
            socket.close()
            raise
        return trio.SocketStream(socket)

    def _close_if_silent(self, since_s: float) -> None:
        connection = self.connection
        if connection is not None and connection.last_contact_s < since_s:
            connection.reset()

    def _decode(self, reply: bytes) -> model.PeerMessage:
        try:
            message = self.messages.decode(reply)
        except codec.CodecError as error:
            raise ports.PeerError(error.code, error.message) from error
        return codec.unwrap_reply(message)

    async def aclose(self) -> None:
        """Closes the connection."""
        if self.connection is not None:
            self.connection.close()


class StreamDialer:
    """Creates clients that share a codec and a nursery.

    Args:
        messages: Codec of the messages.
        nursery: Runs the receiving task of each connection.
        source_host: IP address to connect from; None for any.
        events: Receives `peer:lost` and `peer:regained`.
        metrics: Receives the number of bytes sent to and received from each
            peer.
    """

    def __init__(
        self,
        messages: codec.MessageCodec,
        nursery: trio.Nursery,
        source_host: str | None = None,
        events: ports.EventLog | None = None,
        metrics: ports.Metrics | None = None,
    ) -> None:
        self.messages = messages
        self.nursery = nursery
        self.source_host = source_host
        self.events = events or ports.NullEventLog()
        self.metrics = metrics or ports.NullMetrics()

    def dial(self, address: model.NodeAddress) -> StreamPeerClient:
        """Returns a client that connects when its first call starts."""
        return StreamPeerClient(
            address,
            self.messages,
            self.nursery,
            self.source_host,
            self.events,
            self.metrics,
        )
