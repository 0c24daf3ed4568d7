"""The ports by which forwarding reads headers and calls upstreams."""

from typing import Protocol

import attrs

from guavapulley import model


@attrs.frozen
class CallerFacts:
    """Metadata that a caller sends in the headers of a request.

    Attributes:
        request_id: Unique ID of this attempt of the caller; empty if missing.
        patience_s: Seconds for which the caller waits for the answer; None if
            unspecified.
        affinity_key: Key of the object that the request concerns; None if
            unspecified.
    """

    request_id: str
    patience_s: float | None = None
    affinity_key: str | None = None


@attrs.frozen
class LoadSample:
    """Load that an upstream reports in the headers of an answer.

    Attributes:
        running: Number of requests being served.
        waiting: Number of requests in the queue of the upstream.
        slots: Maximum number of requests served at a time.
        slowdown: Ratio of current to typical service times; 1 means no
            slowdown.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@attrs.frozen
class AnswerFacts:
    """Metadata that an upstream sends in the headers of an answer.

    Attributes:
        not_run: Whether the upstream reports that it did not run the request.
        other_incarnation: Whether another incarnation listens on the address.
        request_id: ID of the answered request; None if unspecified.
        load: Load of the upstream; None if unspecified.
    """

    not_run: bool = False
    other_incarnation: bool = False
    request_id: str | None = None
    load: LoadSample | None = None


class Dialect(Protocol):
    """Reads and writes the metadata headers of callers and upstreams."""

    def caller_facts(self, request: model.HttpRequest) -> CallerFacts:
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

    def answer_facts(self, head: model.AnswerHead) -> AnswerFacts:
        """Returns the metadata in the headers of an upstream's answer."""


class ExchangeClient(Protocol):
    """Sends buffered requests to upstreams and receives buffered answers."""

    async def exchange(
        self,
        upstream: model.UpstreamRecord,
        request: model.HttpRequest,
        *,
        reuse: bool,
    ) -> model.Answer:
        """Sends a request and returns the complete answer.

        Cancelling the call closes the connection, so that the upstream can stop
        working on the request. There is no timeout; the calling code sets one.

        Args:
            upstream: Upstream to call.
            request: Request with its final headers.
            reuse: Whether an idle connection may be used. With a new connection
                a failed connect proves that nothing was sent.

        Raises:
            UpstreamError: There is no complete answer. Unless `not_run` is set,
                the request may have reached the upstream.
        """
