"""A slot in use by a request."""

import collections
from collections.abc import Callable
from typing import Protocol

import attrs


class SlotCounter(Protocol):
    """Counts the requests of an entry.

    Attributes:
        own: Requests in flight by upstream.
    """

    own: collections.Counter[str]

    def count(self, region: str, step: int) -> None:
        """Counts the start or end of an own request in a region."""


@attrs.define
class Hold:
    """A slot in use by a request; a context manager that gives it back.

    Attributes:
        book: Book that counts it.
        upstream: Upstream of the slot.
        region: Region of the upstream.
        on_release: Called after the slot was given back.
    """

    book: SlotCounter
    upstream: str
    region: str
    on_release: Callable[[], None] = lambda: None

    def __enter__(self) -> "Hold":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.book.own[self.upstream] -= 1
        self.book.count(self.region, -1)
        self.on_release()
