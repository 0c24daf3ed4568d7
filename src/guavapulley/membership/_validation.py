"""Limits of what an upstream may announce about itself."""

from collections.abc import Iterator

from guavapulley import model
from guavapulley.membership import _errors

MAX_NAME_CHARS = 200
MAX_SLOTS = 100_000
MAX_CONNECTIONS = 1_000_000
# Greatest integer that all readers of JSON read exactly.
MAX_COUNTER = 2**53
MAX_PORT = 65_535
MAX_DURATION_S = 86_400.0


def validate_record(record: model.UpstreamRecord) -> None:
    """Checks an announcement.

    Raises:
        MembershipError: A value is out of range; the message names its field.
    """
    _raise_first(_record_problems(record))


def validate_renewal(sequence: int, load: model.LoadReport | None) -> None:
    """Checks a renewal.

    Args:
        sequence: Sequence number of the renewal.
        load: Load report, if any.

    Raises:
        MembershipError: A value is out of range; the message names its field.
    """
    _raise_first(_range_problems(sequence=(sequence, 0, MAX_COUNTER)))
    _raise_first(_load_problems(load))


def _raise_first(problems: Iterator[str]) -> None:
    problem = next(problems, None)
    if problem is not None:
        raise _errors.MembershipError(_errors.UPSTREAM_INVALID, problem)


def _record_problems(record: model.UpstreamRecord) -> Iterator[str]:
    yield from _text_problems(
        upstream=record.upstream,
        service=record.service,
        host=record.address.host,
    )
    yield from _range_problems(
        port=(record.address.port, 1, MAX_PORT),
        slots=(record.slots, 1, MAX_SLOTS),
        max_connections=(record.max_connections, 1, MAX_CONNECTIONS),
        incarnation=(record.incarnation, 0, MAX_COUNTER),
        sequence=(record.sequence, 0, MAX_COUNTER),
        age_s=(record.age_s, 0.0, MAX_DURATION_S),
        cold_s=(record.cold_s, 0.0, MAX_DURATION_S),
    )
    yield from _load_problems(record.load)
    if len(record.labels) > model.MAX_LABELS:
        yield "the upstream has too many labels"
    for text in (text for pair in record.labels.items() for text in pair):
        if len(text) > model.MAX_LABEL_CHARS or not _is_encodable(text):
            yield "a label of the upstream is too long or cannot be encoded"


def _text_problems(**texts: str) -> Iterator[str]:
    for field, text in texts.items():
        if not 0 < len(text) <= MAX_NAME_CHARS or not text.isprintable():
            yield f"{field} must be 1 to {MAX_NAME_CHARS} printable characters"


def _range_problems(
    **values: tuple[float, float, float],
) -> Iterator[str]:
    """Yields a text for each (value, minimum, maximum) out of range."""
    for field, (value, minimum, maximum) in values.items():
        # Written so that NaN is out of range.
        if not minimum <= value <= maximum:
            yield f"{field} must be from {minimum} to {maximum}"


def _load_problems(load: model.LoadReport | None) -> Iterator[str]:
    if load is not None:
        yield from _range_problems(
            in_flight=(load.in_flight, 0, MAX_COUNTER),
            queued=(load.queued, 0, MAX_COUNTER),
            age_s=(load.age_s, 0.0, MAX_DURATION_S),
        )


def _is_encodable(text: str) -> bool:
    """Returns whether a text has no halves of surrogate pairs."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
