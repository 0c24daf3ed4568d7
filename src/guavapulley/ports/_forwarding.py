"""The ports by which forwarding reads headers and calls upstreams."""

from collections.abc import Callable
from typing import Protocol

import attrs

from guavapulley import model


@attrs.frozen
class CallerMetadata:
    """Metadata that a caller sends in the headers of a request.

    Attributes:
        request_id: Unique ID of this attempt of the caller; empty if missing.
        caller_timeout_s: Seconds for which the caller waits for the answer;
            None if unspecified.
        affinity_key: Key of the object that the request concerns; None if
            unspecified.
    """

    request_id: str
    caller_timeout_s: float | None = None
    affinity_key: str | None = None


@attrs.frozen
class LoadSample:
    """Load that an upstream reports in the headers of an answer.

    Attributes:
        running: Number of requests being served.
        queued: Number of requests in the queue of the upstream.
        slots: Maximum number of requests served at a time.
        slowdown_factor: Ratio of current to typical service times; 1 means no
            slowdown.
    """

    running: int
    queued: int
    slots: int
    slowdown_factor: float = 1.0


@attrs.frozen
class AnswerMetadata:
    """Metadata that an upstream sends in the headers of an answer.

    Attributes:
        not_run: Whether the upstream reports that it did not run the request.
        implies_not_run: Whether callers take the status alone as the promise
            that the request has not run and never will.
        incarnation_mismatch: Whether another incarnation listens on the
            address.
        request_id: ID of the answered request; None if unspecified.
        load: Load of the upstream; None if unspecified.
        leaving: Whether the upstream announces that it is leaving.
        refusal_s: Seconds for which the upstream wants no further requests from
            this entry; None if unspecified.
        unreadable_headers: Names of headers that are ignored because their
            value cannot be read.
    """

    not_run: bool = False
    implies_not_run: bool = False
    incarnation_mismatch: bool = False
    request_id: str | None = None
    load: LoadSample | None = None
    leaving: bool = False
    refusal_s: float | None = None
    unreadable_headers: tuple[str, ...] = ()


class HeaderCodec(Protocol):
    """Reads and writes the metadata headers of callers and upstreams."""

    def caller_metadata(self, request: model.HttpRequest) -> CallerMetadata:
        """Returns the metadata in the headers of a caller's request."""

    def request_headers(
        self,
        request: model.HttpRequest,
        remaining_s: float,
        upstream: model.UpstreamRecord,
    ) -> model.Headers:
        """Returns the end-to-end headers for a request to an upstream.

        Args:
            request: Request of the caller.
            remaining_s: Time left until the deadline, in seconds.
            upstream: Record of the only incarnation that may run the request.
        """

    def answer_headers(self, head: model.AnswerHead) -> model.Headers:
        """Returns the headers of an upstream's answer to send to the caller."""

    def answer_metadata(self, head: model.AnswerHead) -> AnswerMetadata:
        """Returns the metadata in the headers of an upstream's answer."""


class ExchangeClient(Protocol):
    """Sends buffered requests to upstreams and receives buffered answers."""

    async def exchange(
        self,
        upstream: model.UpstreamRecord,
        request: model.HttpRequest,
        *,
        reuse_connection: bool,
        may_send: Callable[[], bool] = lambda: True,
    ) -> model.Answer:
        """Sends a request and returns the complete answer.

        Cancelling the call closes the connection, so that the upstream can stop
        working on the request. There is no timeout; the calling code sets one.

        Args:
            upstream: Upstream to call.
            request: Request with its final headers.
            reuse_connection: Whether an idle connection may be used. With a new
                connection a failed connect proves that nothing was sent.
            may_send: Returns whether the request may still be sent; called
                after the last wait before the send.

        Raises:
            UpstreamError: There is no complete answer. Unless `not_run` is set,
                the request may have reached the upstream.
        """
