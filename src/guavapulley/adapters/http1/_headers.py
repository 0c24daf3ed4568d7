"""Removal of hop-by-hop headers."""

from collections.abc import Iterable
from collections.abc import Iterator

HOP_BY_HOP = frozenset(
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
        "content-length",
    }
)


def end_to_end_headers(
    headers: Iterable[tuple[str, str]], excluded: frozenset[str] = frozenset()
) -> Iterator[tuple[str, str]]:
    """Yields the headers to be forwarded (RFC 9110, section 7.6.1).

    Args:
        headers: Received headers.
        excluded: Further names, in lower case, that are not forwarded.

    >>> headers = [("Connection", "close, X-Hop"), ("X-Hop", "1")]
    >>> list(end_to_end_headers(headers))
    []
    """
    pairs = list(headers)
    connection_options = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    removed = HOP_BY_HOP | connection_options | excluded
    return (pair for pair in pairs if pair[0].lower() not in removed)
