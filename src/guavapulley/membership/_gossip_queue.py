"""Selection of the records that a gossip message carries."""

import collections
from collections.abc import Iterator
import itertools

Key = tuple[str, str]

# A change that is sent in 8 messages reaches 2 new entries in each of 4 rounds,
# or more by the calls of other entries. The round robin covers the rest.
SENDS_PER_CHANGE = 8


class GossipQueue:
    """Orders record keys: urgent changes, other changes, then round robin.

    Changes that are not urgent fill at most half of a message, so that a
    steady stream of renewals cannot starve the round robin. The cost of a
    message depends on its limit and not on the number of records.

    >>> queue = GossipQueue()
    >>> for name in "abcd":
    ...     queue.mark_changed(("upstream", name))
    >>> queue.mark_changed(("upstream", "b"), urgent=True)
    >>> [name for _, name in queue.next_keys(3)]
    ['b', 'd', 'a']

    Attributes:
        urgent: Remaining sends of urgent changes by key.
        recent_changes: Remaining sends of all changes by key; the newest is
            last.
        round_robin: Keys in the order of their next regular send.
        keys: Keys of all records.
    """

    def __init__(self) -> None:
        self.urgent: dict[Key, int] = {}
        self.recent_changes: dict[Key, int] = {}
        self.round_robin: collections.deque[Key] = collections.deque()
        self.keys: set[Key] = set()

    def mark_changed(self, key: Key, *, urgent: bool = False) -> None:
        """Queues a record that is new or has changed."""
        if key not in self.keys:
            self.keys.add(key)
            self.round_robin.append(key)
        self.recent_changes.pop(key, None)
        self.recent_changes[key] = SENDS_PER_CHANGE
        if urgent:
            self.urgent[key] = SENDS_PER_CHANGE

    def discard(self, key: Key) -> None:
        """Removes a record from the queue."""
        self.keys.discard(key)
        self.recent_changes.pop(key, None)
        self.urgent.pop(key, None)

    def next_keys(self, limit: int) -> list[Key]:
        """Returns at most `limit` keys for the next message."""
        selected = dict.fromkeys(itertools.islice(self.urgent, limit))
        _decrement_sends(self.urgent, list(selected))
        changes = (
            key for key in reversed(self.recent_changes) if key not in selected
        )
        capacity = min(max(1, limit // 2), limit - len(selected))
        selected_changes = list(itertools.islice(changes, capacity))
        selected.update(dict.fromkeys(selected_changes))
        _decrement_sends(self.recent_changes, selected_changes)
        round_robin_keys = (
            key for key in self._next_round_robin() if key not in selected
        )
        capacity = limit - len(selected)
        selected.update(
            dict.fromkeys(itertools.islice(round_robin_keys, capacity))
        )
        return list(selected)

    def _next_round_robin(self) -> Iterator[Key]:
        for _ in range(len(self.round_robin)):
            key = self.round_robin.popleft()
            if key in self.keys:
                self.round_robin.append(key)
                yield key


def _decrement_sends(remaining_sends: dict[Key, int], sent: list[Key]) -> None:
    for key in sent:
        if key in remaining_sends:
            remaining_sends[key] -= 1
            if remaining_sends[key] <= 0:
                del remaining_sends[key]
