"""Formats tables, durations and times as text."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import datetime

MINUTE_S = 60
HOUR_S = 3_600
DAY_S = 86_400


def table_lines(
    headers: Sequence[str], rows: Iterable[Sequence[object]]
) -> Iterator[str]:
    """Yields the lines of a table with aligned columns.

    >>> list(table_lines(["NAME", "N"], [["a", 1], ["long", 22]]))
    ['NAME  N', 'a     1', 'long  22']

    Args:
        headers: Titles of the columns.
        rows: Cells; control characters in them are escaped.
    """
    cells = [
        list(headers),
        *([printable_text(cell) for cell in row] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        yield "  ".join(padded).rstrip()


def printable_text(value: object) -> str:
    r"""Returns a value as text without control characters.

    >>> printable_text("a" + chr(27) + "[2J")
    'a\\x1b[2J'
    """
    text = str(value)
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else ascii(c)[1:-1] for c in text)


def format_duration(seconds: float) -> str:
    """Returns a duration in the largest unit that is not longer than it.

    >>> [format_duration(s) for s in (0.24, 75, 7200, 200_000)]
    ['0.2 s', '1.2 min', '2.0 h', '2.3 d']
    """
    if seconds < MINUTE_S:
        return f"{seconds:.1f} s"
    if seconds < HOUR_S:
        return f"{seconds / MINUTE_S:.1f} min"
    if seconds < DAY_S:
        return f"{seconds / HOUR_S:.1f} h"
    return f"{seconds / DAY_S:.1f} d"


def format_utc_time(unix_s: float) -> str:
    """Returns a Unix time in UTC; `?` for one out of range.

    >>> format_utc_time(0)
    '1970-01-01 00:00:00Z'
    """
    try:
        time = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    except (OverflowError, ValueError, OSError):
        return "?"
    return f"{time:%Y-%m-%d %H:%M:%S}Z"


def format_count(number: int, noun: str) -> str:
    """Returns a number with a noun in the singular or plural.

    >>> format_count(1, "change"), format_count(2, "entry")
    ('1 change', '2 entries')
    """
    if number == 1:
        return f"1 {noun}"
    plural = f"{noun[:-1]}ies" if noun.endswith("y") else f"{noun}s"
    return f"{number} {plural}"
