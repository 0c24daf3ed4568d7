"""Kept connections by upstream; used by the trio thread only."""

import collections
from collections.abc import Callable

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters.http import _connection

# Shorter than the idle time of common HTTP servers, so that a connection is
# seldom closed by the upstream at the moment it is taken.
IDLE_S = 5.0

ConnectionShare = Callable[[model.UpstreamRecord], int]


class ConnectionPool:
    """Connections in use and idle, within the share of this entry.

    Args:
        share: Returns the connections that this entry may open to an
            upstream.

    Attributes:
        open: Connections by address, in use and idle.
        idle: Idle connections by address, the last used last.
    """

    def __init__(self, share: ConnectionShare) -> None:
        self.share = share
        self.open: collections.Counter[model.NodeAddress] = (
            collections.Counter()
        )
        self.idle: dict[
            model.NodeAddress, list[_connection.UpstreamConnection]
        ] = collections.defaultdict(list)
        self.swept_at_s = trio.current_time()

    def take(
        self, upstream: model.UpstreamRecord, new_connection: bool
    ) -> _connection.UpstreamConnection:
        """Returns an idle connection or a new, unconnected one.

        Raises:
            UpstreamError: The share of connections is in use.
        """
        self._sweep()
        kept = self.idle[upstream.address]
        while kept and not new_connection:
            found = kept.pop()
            if not self._expired(found) and not found.has_unread_bytes():
                found.renew()
                return found
            self.discard(upstream.address, found)
        share = max(1, self.share(upstream))
        while kept and self.open[upstream.address] >= share:
            self.discard(upstream.address, kept.pop(0))
        if self.open[upstream.address] >= share:
            raise ports.UpstreamError(
                ports.UPSTREAM_NOT_REACHED,
                f"all {share} connections to {upstream.upstream} are in use",
                not_run=True,
            )
        self.open[upstream.address] += 1
        return _connection.UpstreamConnection(upstream.address)

    def give_back(
        self,
        address: model.NodeAddress,
        connection: _connection.UpstreamConnection,
    ) -> None:
        """Keeps a connection after a whole answer, or closes it."""
        if connection.keepable:
            connection.idle_since_s = trio.current_time()
            self.idle[address].append(connection)
        else:
            self.discard(address, connection)

    def discard(
        self,
        address: model.NodeAddress,
        connection: _connection.UpstreamConnection,
    ) -> None:
        """Closes a connection."""
        connection.abort()
        self.open[address] -= 1
        if not self.open[address]:
            del self.open[address]
            self.idle.pop(address, None)

    def close(self) -> None:
        """Closes the idle connections."""
        for address, kept in list(self.idle.items()):
            for connection in list(kept):
                kept.remove(connection)
                self.discard(address, connection)

    def _expired(self, connection: _connection.UpstreamConnection) -> bool:
        return trio.current_time() - connection.idle_since_s > IDLE_S

    def _sweep(self) -> None:
        if trio.current_time() - self.swept_at_s < IDLE_S:
            return
        self.swept_at_s = trio.current_time()
        for address, kept in list(self.idle.items()):
            for connection in [c for c in kept if self._expired(c)]:
                kept.remove(connection)
                self.discard(address, connection)
