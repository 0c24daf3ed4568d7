"""Validation and creation times of idempotency keys, and request hashes."""

import hashlib
import uuid

from guavapulley import model
from guavapulley.serving import _errors

MAX_KEY_CHARS = 200
KEY_RETENTION_S = model.KEY_RETENTION_S
# Largest tolerated difference between the clocks of callers and entries.
MAX_KEY_CLOCK_SKEW_S = model.MAX_KEY_CLOCK_SKEW_S
_UUID_TIMESTAMP_SHIFT = 80


def qualified_key(service: str, key: str) -> str:
    """Returns the key under which the control replicas store a record.

    >>> qualified_key("order-booking", "k1")
    'order-booking/k1'
    """
    return f"{service}/{key}"


def validate_key(request: model.SteeredRequest, now_s: float) -> float:
    """Validates a request's key and returns its creation time.

    Args:
        request: Request with an idempotency key.
        now_s: Current Unix time in seconds.

    Returns:
        Creation time of the key in Unix seconds.

    Raises:
        ServingError: The key is malformed, its creation time is unknown or in
            the future, or it is older than the retention.
    """
    key = request.idempotency_key or ""
    if not 0 < len(key) <= MAX_KEY_CHARS or not key.isprintable():
        raise _errors.ServingError(
            _errors.KEY_INVALID,
            f"an idempotency key must have 1 to {MAX_KEY_CHARS} printable"
            " characters",
            not_run=True,
        )
    created_s = key_creation_time_s(request)
    if created_s is None:
        raise _errors.ServingError(
            _errors.KEY_AGE_UNKNOWN,
            "the key must be a UUID of version 7 or come with the header"
            " Guavapulley-Key-Created",
            not_run=True,
        )
    if created_s > now_s + MAX_KEY_CLOCK_SKEW_S:
        raise _errors.ServingError(
            _errors.KEY_AGE_INVALID,
            f"the key was created {created_s - now_s:.0f} s in the future",
            not_run=True,
        )
    if created_s < now_s - KEY_RETENTION_S:
        raise key_expired_error()
    return created_s


def key_creation_time_s(request: model.SteeredRequest) -> float | None:
    """Returns the creation time of a key in Unix seconds, or None if unknown.

    The time in a UUID of version 7 takes precedence over the header, because a
    resend by the caller cannot change it.

    >>> key = "01890a5d-ac96-774b-bcce-b302099a8057"
    >>> key_creation_time_s(model.SteeredRequest("r", "s", "GET", "/", (), b"",
    ...     "", {}, key))
    1688096058.518
    """
    try:
        parsed = uuid.UUID(request.idempotency_key or "")
    except ValueError:
        return request.key_created_s
    if parsed.version != 7:
        return request.key_created_s
    return (parsed.int >> _UUID_TIMESTAMP_SHIFT) / 1_000


def key_expired_error() -> _errors.ServingError:
    """Creates the error for a key that is older than the retention."""
    return _errors.ServingError(
        _errors.KEY_EXPIRED,
        f"the key is older than {KEY_RETENTION_S:.0f} s",
        not_run=True,
        earlier_may_have_run=True,
    )


def request_hash(request: model.SteeredRequest) -> str:
    """Returns a hash of the method, path and body of a request.

    Each part is preceded by its length, so that bytes cannot move between
    parts without a change of the hash.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method.encode(), request.path.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
