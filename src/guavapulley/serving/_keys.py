"""Idempotency keys: validity, creation time and hash of the request."""

import hashlib
import uuid

from guavapulley import model
from guavapulley.serving import _errors

MAX_KEY_CHARS = 200
KEY_RETENTION_S = model.KEY_RETENTION_S
# Callers and entries need not agree on the time more closely than this.
MAX_KEY_AHEAD_S = model.MAX_KEY_AHEAD_S
_UUID_TIMESTAMP_SHIFT = 80


def qualified_key(service: str, key: str) -> str:
    """Returns the key as the control replicas store it.

    >>> qualified_key("order-booking", "k1")
    'order-booking/k1'
    """
    return f"{service}/{key}"


def check_key(request: model.SteeredRequest, now_s: float) -> float:
    """Returns the creation time of a request's key in Unix seconds.

    Args:
        request: Request with an idempotency key.
        now_s: Unix time.

    Raises:
        ServingError: The key is malformed, or its age is unknown or outside
            the retention.
    """
    key = request.idempotency_key or ""
    if not 0 < len(key) <= MAX_KEY_CHARS or not key.isprintable():
        raise _errors.ServingError(
            _errors.KEY_INVALID,
            f"a key has 1 to {MAX_KEY_CHARS} printable characters",
            not_run=True,
        )
    created_s = created_at(request)
    if created_s is None:
        raise _errors.ServingError(
            _errors.KEY_AGE_UNKNOWN,
            "the key must be a UUID of version 7 or come with the header"
            " Guavapulley-Key-Created",
            not_run=True,
        )
    if created_s > now_s + MAX_KEY_AHEAD_S:
        raise _errors.ServingError(
            _errors.KEY_AGE_INVALID,
            f"the key is {created_s - now_s:.0f} s ahead",
            not_run=True,
        )
    if created_s < now_s - KEY_RETENTION_S:
        raise expired()
    return created_s


def created_at(request: model.SteeredRequest) -> float | None:
    """Returns the creation time of a key in Unix seconds, if known.

    The time inside the key wins, because a resend cannot change it.

    >>> key = "01890a5d-ac96-774b-bcce-b302099a8057"
    >>> created_at(model.SteeredRequest("r", "s", "GET", "/", (), b"", "",
    ...     {}, key))
    1688096058.518
    """
    try:
        parsed = uuid.UUID(request.idempotency_key or "")
    except ValueError:
        return request.key_created_s
    if parsed.version != 7:
        return request.key_created_s
    return (parsed.int >> _UUID_TIMESTAMP_SHIFT) / 1_000


def expired() -> _errors.ServingError:
    """Returns the refusal of a key older than the retention."""
    return _errors.ServingError(
        _errors.KEY_EXPIRED,
        f"the key is older than {KEY_RETENTION_S:.0f} s",
        not_run=True,
        earlier_may_have_run=True,
    )


def request_hash(request: model.SteeredRequest) -> str:
    """Returns a hash of method, path and body."""
    state = hashlib.blake2b(digest_size=16)
    for part in (request.method.encode(), request.path.encode(), request.body):
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.hexdigest()
