"""Peer calls in memory, over links that delay and lose messages."""

from collections.abc import Callable

import attrs
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports


@attrs.define
class _Exchange:
    """A call on its way, with the reply once it is back."""

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
    """Carries calls between processes of one trio run.

    Messages are delivered even when their caller no longer waits, so that
    late ones meet later states.

    Args:
        delay_s: Returns the delay of the next message between two addresses.

    Attributes:
        cuts: Ordered pairs of addresses whose messages are lost.
    """

    def __init__(
        self,
        delay_s: Callable[[model.NodeAddress, model.NodeAddress], float],
    ) -> None:
        self.delay_s = delay_s
        self.cuts: set[tuple[model.NodeAddress, model.NodeAddress]] = set()
        self.servers: dict[model.NodeAddress, _Server] = {}
        self.nursery: trio.Nursery | None = None
        self.calls = 0

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Carries messages until cancelled."""
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
        """Serves calls to an address; cancelling it aborts them."""
        async with trio.open_nursery() as nursery:
            server = self.servers[address] = _Server(handler, nursery)
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                if self.servers.get(address) is server:
                    del self.servers[address]

    def dialer(self, source: model.NodeAddress) -> "MemoryDialer":
        """Returns the dialer of the process with an address."""
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
                ports.PEER_UNREACHABLE, "the network does not run"
            )
        self.calls += 1
        exchange = _Exchange(source, target, request)
        self.nursery.start_soon(self._deliver, exchange)
        with trio.move_on_after(timeout_s):
            await exchange.done.wait()
        if exchange.reply is None:
            raise ports.PeerError(
                ports.CALL_TIMEOUT, f"{target} did not answer"
            )
        if isinstance(exchange.reply, model.ErrorReply):
            reply = exchange.reply
            raise ports.PeerRefusedError(
                reply.code, reply.message, **reply.details
            )
        return exchange.reply

    async def _deliver(self, exchange: _Exchange) -> None:
        await trio.sleep(self.delay_s(exchange.source, exchange.target))
        server = self.servers.get(exchange.target)
        if server and (exchange.source, exchange.target) not in self.cuts:
            server.nursery.start_soon(self._handle, exchange, server.handler)

    async def _handle(
        self, exchange: _Exchange, handler: ports.PeerHandler
    ) -> None:
        try:
            reply = await handler.handle(exchange.request)
        except errors.GuavapulleyError as error:
            details = {key: str(item) for key, item in error.details.items()}
            reply = model.ErrorReply(error.code, error.message, details)
        if self.nursery is not None:
            self.nursery.start_soon(self._answer, exchange, reply)

    async def _answer(
        self, exchange: _Exchange, reply: model.PeerMessage
    ) -> None:
        await trio.sleep(self.delay_s(exchange.target, exchange.source))
        if (exchange.target, exchange.source) not in self.cuts:
            exchange.reply = reply
            exchange.done.set()


class MemoryDialer:
    """Makes clients of one process."""

    def __init__(
        self, network: MemoryNetwork, source: model.NodeAddress
    ) -> None:
        self.network = network
        self.source = source

    def dial(self, address: model.NodeAddress) -> "MemoryClient":
        """Returns a client of an address."""
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
        """Nothing is open."""
        await trio.lowlevel.checkpoint()
