"""Limits of the HTTP server."""

import resource

import attrs

KEEP_ALIVE_FRACTION = 0.8


@attrs.frozen
class HttpLimits:
    """Limits on requests, connections and threads of the HTTP server.

    Attributes:
        workers: Number of worker threads. It exceeds the 256 requests that all
            traffic classes admit together, so that lookups and renewals find a
            free thread.
        max_body_bytes: Maximum size of a request body.
        max_head_bytes: Maximum size of the request line with the headers.
        receive_timeout_s: Limit on the time from the first to the last byte of
            a request.
        idle_timeout_s: Time after which an idle connection is closed.
        send_timeout_s: Limit on each wait for a caller to receive more of an
            answer.
        max_connections: Maximum number of open connections; at most half of
            the files that the process may open.
            From `KEEP_ALIVE_FRACTION` of it on, connections are closed after
            an answer.
        queued_connections: Maximum number of connections that wait for a
            worker.
        backlog: Maximum number of connections that wait to be accepted.
    """

    workers: int = 320
    max_body_bytes: int = 16 * 1_048_576
    max_head_bytes: int = 32_768
    receive_timeout_s: float = 10.0
    idle_timeout_s: float = 30.0
    send_timeout_s: float = 10.0
    max_connections: int = 8_192
    queued_connections: int = 1_024
    backlog: int = 1_024

    def connection_limit(self) -> int:
        """Returns the number of connections that the process can keep open.

        If the process ran out of file descriptors, the accepting thread would
        fail in a loop.
        """
        max_files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if max_files == resource.RLIM_INFINITY:
            return self.max_connections
        return min(self.max_connections, max_files // 2)
