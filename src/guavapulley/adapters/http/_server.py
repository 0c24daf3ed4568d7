"""Serves HTTP with cheroot, one trio task for each request."""

import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters.http import _cheroot
from guavapulley.adapters.http import _gateway
from guavapulley.adapters.http import _limits

LISTEN_FAILED = errors.register_code(
    "LISTEN_FAILED", "An address of the settings cannot be listened on."
)


class ListenError(errors.GuavapulleyError):
    """The HTTP port cannot be used."""


class HttpServer:
    """A listening server.

    Attributes:
        address: Where it listens, with the actual port.
    """

    def __init__(self, cheroot: _cheroot.CherootServer) -> None:
        self.cheroot = cheroot
        self.limiter = trio.CapacityLimiter(2)
        self.address = model.NodeAddress(*cheroot.bind_addr)

    def disable_keep_alive(self) -> None:
        """Lets every answer from now on end its connection."""
        self.cheroot.closing = True

    async def stop(self, linger_s: float = _cheroot.LINGER_S) -> None:
        """Answers what has arrived, closes idle connections and stops.

        Args:
            linger_s: Time for which idle connections are still served.
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
        address: Where to listen; port 0 takes a free one.
        handler: Handles the requests.
        events: Receives failures of requests and connections.
        limits: What the server accepts.
        task_status: Started with the server when it listens.

    Raises:
        ListenError: The address cannot be used.
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
