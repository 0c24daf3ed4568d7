"""TCP proxy that blocks and delays links between hosts on loopback.

The proxy listens on a loopback address for each host (127.0.1.N) and forwards
to the address on which the process listens. Processes connect from their own
address, so the proxy knows both ends of a connection. A blocked link holds the
bytes back without closing connections, as a network partition does; they are
delivered when the link is restored.
"""

import struct

import attrs
import trio

CHUNK_BYTES = 65_536
MAX_QUEUED_CHUNKS = 64


@attrs.define
class Link:
    """The link from one host to another, in one direction.

    Attributes:
        delay_s: Latency that is added to each chunk, in seconds.
        unblocked: Set unless the link is blocked.
    """

    delay_s: float = 0.0
    unblocked: trio.Event = attrs.field(factory=trio.Event)

    def __attrs_post_init__(self) -> None:
        self.unblocked.set()

    def block(self) -> None:
        """Holds back all bytes until the link is restored."""
        if self.unblocked.is_set():
            self.unblocked = trio.Event()

    def restore(self) -> None:
        """Delivers the bytes that were held back, and all later ones."""
        self.unblocked.set()


class FaultProxy:
    """Forwards connections between hosts, subject to faults on their links."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.links: dict[tuple[str, str], Link] = {}
        self.scopes: dict[str, set[trio.CancelScope]] = {}

    def link(self, source: str, target: str) -> Link:
        """Returns the link from one host to another."""
        return self.links.setdefault((source, target), Link())

    def isolate(self, host: str, others: list[str]) -> None:
        """Blocks both directions between a host and other hosts."""
        for other in others:
            self.link(host, other).block()
            self.link(other, host).block()

    def reset(self, host: str) -> None:
        """Resets the open connections to a host, on both sides."""
        for scope in self.scopes.get(host, set()):
            scope.cancel()

    def restore_all(self) -> None:
        """Restores every link."""
        for link in self.links.values():
            link.restore()

    async def forward(
        self, host: str, listen: tuple[str, int], target: tuple[str, int]
    ) -> None:
        """Forwards connections for a host from one address to another."""
        listener = trio.socket.socket()
        listener.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await listener.bind(listen)
        listener.listen(128)
        self.nursery.start_soon(self._accept, host, listener, target)

    async def _accept(
        self,
        host: str,
        listener: trio.socket.SocketType,
        target: tuple[str, int],
    ) -> None:
        while True:
            accepted, address = await listener.accept()
            self.nursery.start_soon(
                self._serve_connection, accepted, address[0], host, target
            )

    async def _serve_connection(
        self,
        accepted: trio.socket.SocketType,
        source: str,
        host: str,
        target: tuple[str, int],
    ) -> None:
        scopes = self.scopes.setdefault(host, set())
        connected = trio.socket.socket()
        with accepted, connected, trio.CancelScope() as scope:
            scopes.add(scope)
            try:
                await self.link(source, host).unblocked.wait()
                await self._connect_and_pump(
                    accepted, connected, source, host, target
                )
            finally:
                scopes.discard(scope)
                if scope.cancel_called:
                    _reset_at_close(accepted)
                    _reset_at_close(connected)

    async def _connect_and_pump(
        self,
        accepted: trio.socket.SocketType,
        connected: trio.socket.SocketType,
        source: str,
        host: str,
        target: tuple[str, int],
    ) -> None:
        try:
            await connected.connect(target)
        except OSError:
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, accepted, connected, source, host)
            nursery.start_soon(self._pump, connected, accepted, host, source)

    async def _pump(
        self,
        reader: trio.socket.SocketType,
        writer: trio.socket.SocketType,
        source: str,
        target: str,
    ) -> None:
        send, receive = trio.open_memory_channel[tuple[float, bytes]](
            MAX_QUEUED_CHUNKS
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._deliver, receive, writer, self.link(source, target)
            )
            async with send:
                chunk = b" "
                while chunk:
                    chunk = await _receive(reader)
                    deliver_at = trio.current_time()
                    deliver_at += self.link(source, target).delay_s
                    await send.send((deliver_at, chunk))

    async def _deliver(
        self,
        receive: trio.MemoryReceiveChannel[tuple[float, bytes]],
        writer: trio.socket.SocketType,
        link: Link,
    ) -> None:
        async for deliver_at, chunk in receive:
            await trio.sleep_until(deliver_at)
            await link.unblocked.wait()
            if chunk:
                await _send(writer, chunk)
                continue
            _shut_down(writer)


def _reset_at_close(socket: trio.socket.SocketType) -> None:
    """Makes closing the socket reset its connection."""
    linger = struct.pack("ii", 1, 0)
    socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger)


async def _receive(reader: trio.socket.SocketType) -> bytes:
    try:
        return await reader.recv(CHUNK_BYTES)
    except OSError:
        return b""


async def _send(writer: trio.socket.SocketType, chunk: bytes) -> None:
    try:
        view = memoryview(chunk)
        while view:
            view = view[await writer.send(view) :]
    except OSError:
        return


def _shut_down(writer: trio.socket.SocketType) -> None:
    try:
        writer.shutdown(trio.socket.SHUT_WR)
    except OSError:
        return
