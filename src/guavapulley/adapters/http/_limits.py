"""Limits of the HTTP server."""

import resource

import attrs

KEPT_PART = 0.8


@attrs.frozen
class HttpLimits:
    """What the HTTP server accepts.

    Attributes:
        workers: Worker threads; more than the 256 requests that all classes
            admit together, so that lookups and renewals find a free one.
        max_body_bytes: Largest request body.
        max_head_bytes: Largest request line with headers.
        receive_s: Time for receiving a whole request after its first byte.
        idle_s: Time after which an idle kept connection is closed.
        send_s: Longest wait for a caller to take more of an answer.
        max_connections: Open connections without a request in progress; at
            most half of the files that the process may open. From
            `KEPT_PART` of it on, connections are closed after an answer.
        queued_connections: Connections that may wait for a worker.
        backlog: Connections that may wait to be accepted.
    """

    workers: int = 320
    max_body_bytes: int = 16 * 1_048_576
    max_head_bytes: int = 32_768
    receive_s: float = 10.0
    idle_s: float = 30.0
    send_s: float = 10.0
    max_connections: int = 8_192
    queued_connections: int = 1_024
    backlog: int = 1_024

    def connections(self) -> int:
        """Returns the connections that the process can hold open.

        Running out of files would make the accepting thread fail in a loop.
        """
        files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if files == resource.RLIM_INFINITY:
            return self.max_connections
        return min(self.max_connections, files // 2)
