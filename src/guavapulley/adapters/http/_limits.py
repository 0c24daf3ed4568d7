"""Limits of the HTTP server."""

import attrs


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
        queued_connections: Connections that may wait for a worker.
        backlog: Connections that may wait to be accepted.
    """

    workers: int = 320
    max_body_bytes: int = 16 * 1_048_576
    max_head_bytes: int = 32_768
    receive_s: float = 10.0
    idle_s: float = 30.0
    send_s: float = 10.0
    queued_connections: int = 1_024
    backlog: int = 1_024
