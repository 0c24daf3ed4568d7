"""Headers that end at this hop, and headers of the system."""

from collections.abc import Iterable
from collections.abc import Iterator

REQUEST_ID = "Guavapulley-Request-Id"
IDEMPOTENCY_KEY = "Guavapulley-Idempotency-Key"
KEY_CREATED = "Guavapulley-Key-Created"
DEADLINE_MS = "Guavapulley-Deadline-Ms"
LABELS = "Guavapulley-Labels"

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "host",
        "content-length",
        "date",
        "server",
    }
)


def end_to_end(
    headers: Iterable[tuple[str, str]],
) -> Iterator[tuple[str, str]]:
    """Yields the headers that are passed on (RFC 9110, section 7.6.1).

    >>> list(end_to_end([("Connection", "close, X-Hop"), ("X-Hop", "1")]))
    []
    """
    pairs = list(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    ends = _HOP_BY_HOP | named
    return (pair for pair in pairs if pair[0].lower() not in ends)
