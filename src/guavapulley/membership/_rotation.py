"""Choice of the records that go into a gossip message."""

import collections
from collections.abc import Iterator
import itertools

Key = tuple[str, str]

# A record that is sent in 8 messages has reached 2 new entries in each of 4
# rounds, or more with the calls of other entries; rotation covers the rest.
FRESH_SENDS = 8


class Rotation:
    """Gives urgent changes first, then new ones, then all in rotation.

    At most half of a message holds changes that are not urgent, so that a
    steady stream of renewals cannot starve the rotation. The cost of a message
    depends on its limit and not on the number of records.

    >>> rotation = Rotation()
    >>> for name in "abcd":
    ...     rotation.changed(("upstream", name))
    >>> rotation.changed(("upstream", "b"), urgent=True)
    >>> [name for _, name in rotation.take(3)]
    ['b', 'd', 'a']
    """

    def __init__(self) -> None:
        self.urgent: dict[Key, int] = {}
        self.newest: dict[Key, int] = {}
        self.queue: collections.deque[Key] = collections.deque()
        self.known: set[Key] = set()

    def changed(self, key: Key, *, urgent: bool = False) -> None:
        """Notes that a record is new or has changed."""
        if key not in self.known:
            self.known.add(key)
            self.queue.append(key)
        self.newest.pop(key, None)
        self.newest[key] = FRESH_SENDS
        if urgent:
            self.urgent[key] = FRESH_SENDS

    def discard(self, key: Key) -> None:
        """Forgets a record."""
        self.known.discard(key)
        self.newest.pop(key, None)
        self.urgent.pop(key, None)

    def take(self, limit: int) -> list[Key]:
        """Returns at most `limit` keys for one message."""
        chosen = dict.fromkeys(itertools.islice(self.urgent, limit))
        _count_sends(self.urgent, list(chosen))
        fresh = (key for key in reversed(self.newest) if key not in chosen)
        room = min(max(1, limit // 2), limit - len(chosen))
        added = list(itertools.islice(fresh, room))
        chosen.update(dict.fromkeys(added))
        _count_sends(self.newest, added)
        rotated = (key for key in self._rotate() if key not in chosen)
        room = limit - len(chosen)
        chosen.update(dict.fromkeys(itertools.islice(rotated, room)))
        return list(chosen)

    def _rotate(self) -> Iterator[Key]:
        for _ in range(len(self.queue)):
            key = self.queue.popleft()
            if key in self.known:
                self.queue.append(key)
                yield key


def _count_sends(left: dict[Key, int], sent: list[Key]) -> None:
    for key in sent:
        if key in left:
            left[key] -= 1
            if left[key] <= 0:
                del left[key]
