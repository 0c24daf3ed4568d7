"""Pool of connections to upstreams; used only in the trio thread."""

import collections
from collections.abc import Callable

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters.http import _connection

# Shorter than the idle timeout of common HTTP servers, so that the upstream
# seldom closes a connection at the moment when it is reused.
IDLE_TIMEOUT_S = 5.0

ConnectionLimit = Callable[[model.UpstreamRecord], int]


class ConnectionPool:
    """Connections to upstreams, limited for each upstream.

    Args:
        connection_limit: Returns the number of connections that this entry may
            open to an upstream.

    Attributes:
        open_counts: Number of connections, in use and idle, by address.
        idle: Idle connections by address, the most recently used last.
    """

    def __init__(self, connection_limit: ConnectionLimit) -> None:
        self.connection_limit = connection_limit
        self.open_counts: collections.Counter[model.NodeAddress] = (
            collections.Counter()
        )
        self.idle: dict[
            model.NodeAddress, list[_connection.UpstreamConnection]
        ] = collections.defaultdict(list)
        self.expired_closed_at_s = trio.current_time()

    def acquire(
        self, upstream: model.UpstreamRecord, new_connection: bool
    ) -> _connection.UpstreamConnection:
        """Returns an idle connection or a new one that is not yet connected.

        Args:
            upstream: Upstream to connect to.
            new_connection: Whether idle connections must not be reused.

        Raises:
            UpstreamError: The limit is reached, and no connection is idle.
        """
        self._close_expired()
        idle = self.idle[upstream.address]
        while idle and not new_connection:
            connection = idle.pop()
            if not self._is_expired(connection) and not connection.is_stale():
                connection.prepare_for_reuse()
                return connection
            self.discard(upstream.address, connection)
        max_connections = max(1, self.connection_limit(upstream))
        while idle and self.open_counts[upstream.address] >= max_connections:
            self.discard(upstream.address, idle.pop(0))
        if self.open_counts[upstream.address] >= max_connections:
            raise ports.UpstreamError(
                ports.UPSTREAM_NOT_REACHED,
                f"all {max_connections} connections to {upstream.upstream}"
                " are in use",
                not_run=True,
            )
        self.open_counts[upstream.address] += 1
        return _connection.UpstreamConnection(upstream.address)

    def release(
        self,
        address: model.NodeAddress,
        connection: _connection.UpstreamConnection,
    ) -> None:
        """Keeps a connection after a complete answer, or closes it."""
        if connection.can_be_kept:
            connection.idle_since_s = trio.current_time()
            self.idle[address].append(connection)
        else:
            self.discard(address, connection)

    def discard(
        self,
        address: model.NodeAddress,
        connection: _connection.UpstreamConnection,
    ) -> None:
        """Closes a connection and removes it from the pool."""
        connection.abort()
        self.open_counts[address] -= 1
        if not self.open_counts[address]:
            del self.open_counts[address]
            self.idle.pop(address, None)

    def close(self) -> None:
        """Closes the idle connections."""
        for address, idle in list(self.idle.items()):
            for connection in list(idle):
                idle.remove(connection)
                self.discard(address, connection)

    def _is_expired(self, connection: _connection.UpstreamConnection) -> bool:
        return trio.current_time() - connection.idle_since_s > IDLE_TIMEOUT_S

    def _close_expired(self) -> None:
        if trio.current_time() - self.expired_closed_at_s < IDLE_TIMEOUT_S:
            return
        self.expired_closed_at_s = trio.current_time()
        for address, idle in list(self.idle.items()):
            for connection in [
                connection
                for connection in idle
                if self._is_expired(connection)
            ]:
                idle.remove(connection)
                self.discard(address, connection)
