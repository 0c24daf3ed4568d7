"""Serves calls of peers; each connection and each call has its own task."""

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import codec
from guavapulley.adapters.stream import _frames

# Every running peer makes calls more often than this.
IDLE_TIMEOUT_S = 30.0
MAX_CONCURRENT_CALLS = 256
BACKLOG = 256


async def serve_stream_peers(
    address: model.NodeAddress,
    handler: ports.PeerHandler,
    messages: codec.MessageCodec,
    events: ports.EventLog,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves calls until cancelled.

    Args:
        address: Address to listen on.
        handler: Handles the calls.
        messages: Codec of the messages.
        events: Receives rejected and failed calls.
        task_status: Reports the start when the socket listens.

    Raises:
        PeerError: The server cannot listen on the address.
    """
    try:
        listeners = await trio.open_tcp_listeners(
            address.port, host=address.host, backlog=BACKLOG
        )
    except OSError as error:
        raise ports.PeerError(
            ports.PEER_UNREACHABLE, f"cannot listen on {address}: {error}"
        ) from error

    async def serve_connection(stream: trio.SocketStream) -> None:
        await _PeerConnection(stream, handler, messages, events).run()

    task_status.started()
    await trio.serve_listeners(serve_connection, listeners)


class _PeerConnection:
    """Connection of one peer.

    Attributes:
        limiter: Limits the calls of the connection that run at a time.
        idle_scope: Its deadline passes when the peer sends nothing, and takes
            nothing of a large reply, for `IDLE_TIMEOUT_S`.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        handler: ports.PeerHandler,
        messages: codec.MessageCodec,
        events: ports.EventLog,
    ) -> None:
        self.stream = stream
        self.handler = handler
        self.messages = messages
        self.events = events
        self.write_lock = trio.Lock()
        self.limiter = trio.CapacityLimiter(MAX_CONCURRENT_CALLS)
        self.idle_scope = trio.CancelScope()

    async def run(self) -> None:
        """Serves calls until the peer closes the connection or is idle."""
        try:
            with self.idle_scope:
                async with trio.open_nursery() as nursery:
                    await self._receive(nursery)
                    nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # The peer has disconnected, so no caller waits for a reply.
        except* _frames.FrameError as group:
            self.events.write("peer:rejected", reason=str(group.exceptions[0]))
        except* Exception as failure:  # other peers stay connected
            self.events.write("peer:connection_failed", reason=repr(failure))
        finally:
            self.stream.socket.close()

    async def _receive(self, nursery: trio.Nursery) -> None:
        self._postpone_idle_timeout()
        async for call_number, data in _frames.read_frames(
            self.stream, self._postpone_idle_timeout
        ):
            self._postpone_idle_timeout()
            borrower = object()
            await self.limiter.acquire_on_behalf_of(borrower)
            nursery.start_soon(self._answer, call_number, data, borrower)

    def _postpone_idle_timeout(self) -> None:
        self.idle_scope.deadline = trio.current_time() + IDLE_TIMEOUT_S

    async def _answer(
        self, call_number: int, data: bytes, borrower: object
    ) -> None:
        try:
            reply = await self._reply(data)
            frame = _frames.pack(call_number, self.messages.encode(reply))
            async with self.write_lock:
                await _frames.send_frame(
                    self.stream, frame, self._postpone_idle_timeout
                )
        finally:
            self.limiter.release_on_behalf_of(borrower)

    async def _reply(self, data: bytes) -> model.PeerMessage:
        try:
            request = self.messages.decode(data)
        except codec.CodecError as error:
            return codec.make_error_reply(error)
        return await codec.handle_call(self.handler, request, self.events)
