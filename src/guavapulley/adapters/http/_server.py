"""HTTP server with cheroot and one trio task for each request."""

import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters.http import _cheroot
from guavapulley.adapters.http import _gateway
from guavapulley.adapters.http import _limits

LISTEN_FAILED = errors.register_code(
    "LISTEN_FAILED", "The process cannot listen on an address of its settings."
)


class ListenError(errors.GuavapulleyError):
    """The server cannot listen on its HTTP address."""


class HttpServer:
    """A listening server.

    Attributes:
        address: Address on which it listens, with the actual port.
    """

    def __init__(self, cheroot: _cheroot.CherootServer) -> None:
        self.cheroot = cheroot
        self.limiter = trio.CapacityLimiter(2)
        self.address = model.NodeAddress(*cheroot.bind_addr)

    def disable_keep_alive(self) -> None:
        """Makes each answer from now on close its connection."""
        self.cheroot.keep_alive_disabled = True

    async def stop(self, linger_s: float = _cheroot.LINGER_S) -> None:
        """Answers requests that have arrived, closes connections and stops.

        Args:
            linger_s: Time in seconds during which idle connections are still
                served.
        """
        await trio.to_thread.run_sync(
            self.cheroot.stop, linger_s, limiter=self.limiter
        )


async def serve_http(
    address: model.NodeAddress,
    handler: ports.HttpHandler,
    events: ports.EventLog,
    *,
    limits: _limits.HttpLimits | None = None,
    task_status: trio.TaskStatus[HttpServer] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until the server is stopped or the task is cancelled.

    Cancelling ends the handlers at once; `HttpServer.stop` lets them finish.

    Args:
        address: Address to listen on; port 0 selects a free port.
        handler: Handles the requests.
        events: Receives failures of requests and connections.
        limits: Limits on requests and connections; None for the defaults.
        task_status: Receives the server once it listens.

    Raises:
        ListenError: The server cannot listen on the address.
    """
    async with trio.open_nursery() as nursery:
        bridge = _gateway.Bridge(handler, nursery, events)
        gateway = type("BoundGateway", (_gateway.Gateway,), {"bridge": bridge})
        cheroot = _cheroot.CherootServer(
            address, gateway, limits or _limits.HttpLimits(), events
        )
        try:
            await trio.to_thread.run_sync(cheroot.prepare)
        except OSError as error:
            raise ListenError(
                LISTEN_FAILED, f"cannot listen on {address}: {error}"
            ) from error
        server = HttpServer(cheroot)
        task_status.started(server)
        try:
            await trio.to_thread.run_sync(
                cheroot.serve, limiter=server.limiter, abandon_on_cancel=True
            )
            # The loop ends before the last requests are answered.
            await server.stop()
        finally:
            nursery.cancel_scope.cancel()
            with trio.CancelScope(shield=True):
                # Handlers are cancelled, so late requests are not served.
                await server.stop(linger_s=0.0)
