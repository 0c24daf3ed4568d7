"""The newest accepted changes of the configuration."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator

from guavapulley import ports

MAX_CHANGES = 1_000
# Limit on the encoded size. A decoded change occupies several times as much.
MAX_BYTES = 4 * 1_048_576


class ChangeHistory:
    """The newest accepted changes, oldest first.

    The size of a change is that of its own encoding, so that all replicas keep
    the same changes whether they applied or restored them.

    Args:
        codec: Codec of the changes.
        accepted_changes: Changes of a snapshot, oldest first.
    """

    def __init__(
        self,
        codec: ports.Codec,
        accepted_changes: Iterable[ports.AcceptedChange] = (),
    ) -> None:
        self.codec = codec
        self.size_bytes = 0
        self.sized_changes: collections.deque[
            tuple[int, ports.AcceptedChange]
        ] = collections.deque()
        for accepted in accepted_changes:
            self.append(accepted)

    def append(self, accepted: ports.AcceptedChange) -> None:
        """Appends a change and drops the oldest ones beyond the limits."""
        size_bytes = len(self.codec.encode(accepted.change))
        self.sized_changes.append((size_bytes, accepted))
        self.size_bytes += size_bytes
        while len(self.sized_changes) > MAX_CHANGES or (
            self.size_bytes > MAX_BYTES and len(self.sized_changes) > 1
        ):
            dropped_bytes, _ = self.sized_changes.popleft()
            self.size_bytes -= dropped_bytes

    def __len__(self) -> int:
        return len(self.sized_changes)

    def __iter__(self) -> Iterator[ports.AcceptedChange]:
        return (accepted for _, accepted in self.sized_changes)

    def __reversed__(self) -> Iterator[ports.AcceptedChange]:
        return (accepted for _, accepted in reversed(self.sized_changes))
