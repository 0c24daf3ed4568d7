"""In-memory peer calls over links that delay and lose messages."""

from collections.abc import Callable

import attrs
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports


@attrs.define
class _PendingCall:
    """A call in progress, and its reply once it has arrived."""

    source: model.NodeAddress
    target: model.NodeAddress
    request: model.PeerMessage
    done: trio.Event = attrs.field(factory=trio.Event)
    reply: model.PeerMessage | None = None


@attrs.frozen
class _Server:
    handler: ports.PeerHandler
    nursery: trio.Nursery


class MemoryNetwork:
    """Delivers calls between simulated processes of one trio run.

    Messages are delivered even if their caller no longer waits, so that tests
    cover late messages that arrive in a changed state.

    Args:
        delay_s: Returns the delay of the next message from the first to the
            second address, in seconds.

    Attributes:
        blocked_links: Ordered pairs of a source and a target address; messages
            between them are lost.
        call_count: Number of calls made.
    """

    def __init__(
        self,
        delay_s: Callable[[model.NodeAddress, model.NodeAddress], float],
    ) -> None:
        self.delay_s = delay_s
        self.blocked_links: set[tuple[model.NodeAddress, model.NodeAddress]] = (
            set()
        )
        self.servers: dict[model.NodeAddress, _Server] = {}
        self.nursery: trio.Nursery | None = None
        self.call_count = 0

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Delivers messages until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                self.nursery = None

    async def serve(
        self,
        address: model.NodeAddress,
        handler: ports.PeerHandler,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves calls to an address; a cancellation aborts these calls."""
        async with trio.open_nursery() as nursery:
            server = self.servers[address] = _Server(handler, nursery)
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                if self.servers.get(address) is server:
                    del self.servers[address]

    def dialer(self, source: model.NodeAddress) -> "MemoryDialer":
        """Returns the dialer of the process at an address."""
        return MemoryDialer(self, source)

    async def call(
        self,
        source: model.NodeAddress,
        target: model.NodeAddress,
        request: model.PeerMessage,
        timeout_s: float,
    ) -> model.PeerMessage:
        """Calls a peer; see `ports.PeerClient`."""
        if self.nursery is None:
            raise ports.PeerError(
                ports.PEER_UNREACHABLE, "the network is not running"
            )
        self.call_count += 1
        pending_call = _PendingCall(source, target, request)
        self.nursery.start_soon(self._deliver_request, pending_call)
        with trio.move_on_after(timeout_s):
            await pending_call.done.wait()
        if pending_call.reply is None:
            raise ports.PeerError(
                ports.CALL_TIMEOUT, f"{target} did not answer"
            )
        if isinstance(pending_call.reply, model.ErrorReply):
            reply = pending_call.reply
            raise ports.PeerReplyError(
                reply.code, reply.message, **reply.details
            )
        return pending_call.reply

    async def _deliver_request(self, pending_call: _PendingCall) -> None:
        await trio.sleep(self.delay_s(pending_call.source, pending_call.target))
        server = self.servers.get(pending_call.target)
        if (
            server
            and (pending_call.source, pending_call.target)
            not in self.blocked_links
        ):
            server.nursery.start_soon(
                self._handle, pending_call, server.handler
            )

    async def _handle(
        self, pending_call: _PendingCall, handler: ports.PeerHandler
    ) -> None:
        try:
            reply = await handler.handle(pending_call.request)
        except errors.GuavapulleyError as error:
            details = {key: str(value) for key, value in error.details.items()}
            reply = model.ErrorReply(error.code, error.message, details)
        if self.nursery is not None:
            self.nursery.start_soon(self._deliver_reply, pending_call, reply)

    async def _deliver_reply(
        self, pending_call: _PendingCall, reply: model.PeerMessage
    ) -> None:
        await trio.sleep(self.delay_s(pending_call.target, pending_call.source))
        if (pending_call.target, pending_call.source) not in self.blocked_links:
            pending_call.reply = reply
            pending_call.done.set()


class MemoryDialer:
    """Creates clients that call from one address."""

    def __init__(
        self, network: MemoryNetwork, source: model.NodeAddress
    ) -> None:
        self.network = network
        self.source = source

    def dial(self, address: model.NodeAddress) -> "MemoryClient":
        """Returns a client that calls an address."""
        return MemoryClient(self.network, self.source, address)


class MemoryClient:
    """Calls one address."""

    def __init__(
        self,
        network: MemoryNetwork,
        source: model.NodeAddress,
        target: model.NodeAddress,
    ) -> None:
        self.network = network
        self.source = source
        self.target = target

    async def call(
        self, request: model.PeerMessage, timeout_s: float
    ) -> model.PeerMessage:
        """See `ports.PeerClient`."""
        return await self.network.call(
            self.source, self.target, request, timeout_s
        )

    async def aclose(self) -> None:
        """Does nothing, because there is no connection."""
        await trio.lowlevel.checkpoint()
