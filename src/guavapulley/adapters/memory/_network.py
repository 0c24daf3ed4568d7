"""A network of peers inside one process, with delays and cuts."""

from collections.abc import Callable

import attrs
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports


@attrs.define
class MemoryNetwork:
    """Delivers calls between handlers; a lost message is a call timeout.

    Attributes:
        delay_s: One-way delay between two addresses, in seconds.
        passes: Whether a message from one address reaches another; asked
            once for the request and once for the reply.
        handlers: Handlers by address; an absent one drops messages.
        calls: Requests sent so far.
    """

    delay_s: Callable[[model.NodeAddress, model.NodeAddress], float] = (
        lambda source, target: 0.001
    )
    passes: Callable[[model.NodeAddress, model.NodeAddress], bool] = (
        lambda source, target: True
    )
    handlers: dict[model.NodeAddress, ports.PeerHandler] = attrs.field(
        factory=dict
    )
    calls: int = 0

    def dialer(self, source: model.NodeAddress) -> "MemoryDialer":
        """Returns the dialer of the process at an address."""
        return MemoryDialer(self, source)

    async def carry(
        self, source: model.NodeAddress, target: model.NodeAddress
    ) -> None:
        """Waits until a message has arrived; a lost one never does."""
        await trio.sleep(self.delay_s(source, target))
        if not self.passes(source, target):
            await trio.sleep_forever()


@attrs.frozen
class MemoryDialer:
    """Makes clients of one process."""

    network: MemoryNetwork
    source: model.NodeAddress

    def dial(self, address: model.NodeAddress) -> "MemoryClient":
        """Returns a client for an address."""
        return MemoryClient(self.network, self.source, address)


@attrs.frozen
class MemoryClient:
    """Calls one peer."""

    network: MemoryNetwork
    source: model.NodeAddress
    target: model.NodeAddress

    async def call(
        self, request: model.PeerMessage, timeout_s: float
    ) -> model.PeerMessage:
        """Sends a request and returns the reply; see `ports.PeerClient`."""
        self.network.calls += 1
        try:
            with trio.fail_after(timeout_s):
                return await self._exchange(request)
        except trio.TooSlowError as error:
            raise ports.PeerError(
                ports.CALL_TIMEOUT, f"{self.target} did not answer"
            ) from error

    async def _exchange(self, request: model.PeerMessage) -> model.PeerMessage:
        await self.network.carry(self.source, self.target)
        handler = self.network.handlers.get(self.target)
        if handler is None:
            await trio.sleep_forever()
        try:
            reply = await handler.handle(request)
        except errors.GuavapulleyError as error:
            await self.network.carry(self.target, self.source)
            details = {key: str(value) for key, value in error.details.items()}
            raise ports.PeerRefusedError(
                error.code, error.message, **details
            ) from error
        await self.network.carry(self.target, self.source)
        return reply

    async def aclose(self) -> None:
        """Does nothing; there is no connection."""
