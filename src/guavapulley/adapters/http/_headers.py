"""Names of the system's headers, and removal of hop-by-hop headers."""

from collections.abc import Iterable
from collections.abc import Iterator

from guavapulley.adapters import http1

REQUEST_ID = "Guavapulley-Request-Id"
IDEMPOTENCY_KEY = "Guavapulley-Idempotency-Key"
KEY_CREATED = "Guavapulley-Key-Created"
DEADLINE_MS = "Guavapulley-Deadline-Ms"
LABELS = "Guavapulley-Labels"

# cheroot and urllib3 set these headers themselves.
_SET_BY_LIBRARY = frozenset({"host", "date", "server"})


def end_to_end_headers(
    headers: Iterable[tuple[str, str]],
) -> Iterator[tuple[str, str]]:
    """Yields the headers to be forwarded; see `http1`."""
    return http1.end_to_end_headers(headers, _SET_BY_LIBRARY)
