"""Requests of callers, answers, and outcomes of idempotency keys."""

import enum

import attrs

from guavapulley.model import _upstreams

# Idempotency keys are kept for this time; older ones are refused.
KEY_RETENTION_S = 24 * 3_600.0
# A key may be created by a clock that is this far ahead.
MAX_KEY_AHEAD_S = 300.0

Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class SteeredRequest:
    """A request of a caller, as the decisions see it.

    Attributes:
        request_id: Unique ID, from the caller or drawn by the entry.
        service: Service asked for.
        method: HTTP method in upper case.
        path: Path and query below the service.
        headers: End-to-end headers.
        body: Whole body.
        region: Region of the caller.
        labels: Labels given by the caller and the automatic ones.
        idempotency_key: Key of the caller, if any.
        key_created_s: Unix time at which the caller created the key, if known.
        deadline_s: Time allowed for the answer, in seconds from arrival; None
            means the deadline of the service.
    """

    request_id: str
    service: str
    method: str
    path: str
    headers: Headers = ()
    body: bytes = b""
    region: str = ""
    labels: _upstreams.Labels = attrs.field(factory=dict)
    idempotency_key: str | None = None
    key_created_s: float | None = None
    deadline_s: float | None = None


@attrs.frozen
class AnswerHead:
    """Status and headers of an answer.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        length: Declared length of the body in bytes, if declared.
    """

    status: int
    headers: Headers = ()
    length: int | None = None


@attrs.frozen
class Answer:
    """A whole answer."""

    head: AnswerHead
    body: bytes = b""


class OutcomeKind(enum.StrEnum):
    """What is known of a claimed idempotency key."""

    CLAIMED = "claimed"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


@attrs.frozen
class StoredOutcome:
    """The durable record of an idempotency key.

    Attributes:
        key: Idempotency key, qualified by the service.
        body_hash: Hash of method, path and body of the first request.
        entry: Entry that claimed the key.
        request_id: Request that claimed the key.
        claimed_index: Log index of the claim.
        claimed_at_s: Unix time of the claim, by the proposing leader.
        kind: What is known.
        answer: Whole answer when completed and small enough to be kept.
    """

    key: str
    body_hash: str
    entry: str
    request_id: str
    claimed_index: int
    claimed_at_s: float
    kind: OutcomeKind = OutcomeKind.CLAIMED
    answer: Answer | None = None


@attrs.frozen
class HttpRequest:
    """An HTTP request as received.

    Attributes:
        method: Method in upper case.
        path: Path without the query, percent-decoded.
        query: Query string as received.
        headers: Headers as received.
        body: Whole body.
        peer_host: IP address of the other side.
        raw_path: Path as received, for passing on without decoding.
    """

    method: str
    path: str
    query: str = ""
    headers: Headers = ()
    body: bytes = b""
    peer_host: str = ""
    raw_path: str = ""

    def header(self, name: str) -> str | None:
        """Returns the first header of a name, ignoring case."""
        wanted = name.lower()
        found = (value for key, value in self.headers if key.lower() == wanted)
        return next(found, None)
