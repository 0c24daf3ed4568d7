"""Liveness of entries: heartbeats, suspicion, refutation and probation."""

from collections.abc import Iterator

import attrs
import trio

from guavapulley import model

SUSPECT_AFTER_S = 3.0
DEAD_AFTER_S = 6.0
# Dead entries stay known for this time, because calls to them are what joins
# the two sides of a partition again.
FORGET_AFTER_S = 3600.0
FIRST_PROBATION_S = 2.0
MAX_PROBATION_S = 60.0
FLAP_MEMORY_S = 300.0

TAKES_REQUESTS = (model.EntryState.ALIVE, model.EntryState.DETACHED)


@attrs.define
class KnownEntry:
    """Another entry as this one knows it; times are those of trio's clock.

    Attributes:
        record: Newest record.
        heard_at_s: When its heartbeat last rose.
        flaps: Returns from death within `FLAP_MEMORY_S` of each other.
        flapped_at_s: Time of the last return.
        probation_until_s: The entry does not count as live before this time.
    """

    record: model.EntryRecord
    heard_at_s: float
    flaps: int = 0
    flapped_at_s: float = 0.0
    probation_until_s: float = 0.0

    def silence_s(self) -> float:
        """Returns the time since the heartbeat last rose."""
        return trio.current_time() - self.heard_at_s

    def dead(self) -> bool:
        """Returns whether the entry counts as dead."""
        return self.silence_s() > DEAD_AFTER_S

    def suspected(self) -> bool:
        """Returns whether the entry is silent, but not yet dead."""
        return SUSPECT_AFTER_S < self.silence_s() <= DEAD_AFTER_S

    def live(self) -> bool:
        """Returns whether the entry takes requests."""
        return (
            not self.dead()
            and self.record.state in TAKES_REQUESTS
            and trio.current_time() >= self.probation_until_s
        )

    def replace(self, record: model.EntryRecord) -> None:
        """Takes a newer record; repeated returns from death cost probation."""
        now = trio.current_time()
        if self.dead() and self.record.state is not model.EntryState.LEAVING:
            remembered = now - self.flapped_at_s <= FLAP_MEMORY_S
            self.flaps = self.flaps + 1 if self.flaps and remembered else 1
            self.flapped_at_s = now
            self.probation_until_s = now + _probation_s(self.flaps)
        self.record = record
        self.heard_at_s = now


class EntryTable:
    """The entries that one entry knows, itself included.

    Args:
        own: Record of this entry at its start.
    """

    def __init__(self, own: model.EntryRecord) -> None:
        self.own = own
        self.others: dict[str, KnownEntry] = {}

    def beat(self) -> None:
        """Raises the heartbeat of this entry."""
        self.own = attrs.evolve(self.own, heartbeat=self.own.heartbeat + 1)

    def merge(self, record: model.EntryRecord) -> bool:
        """Takes a gossiped record.

        Returns:
            Whether it changed what this entry knows.
        """
        if record.name == self.own.name:
            return self._refute(record)
        record = attrs.evolve(record, suspected=False)
        known = self.others.get(record.name)
        if known is None:
            self.others[record.name] = KnownEntry(record, trio.current_time())
            return True
        if _version(record) <= _version(known.record):
            return False
        known.replace(record)
        return True

    def _refute(self, record: model.EntryRecord) -> bool:
        # A record that is ahead of this process is left by an earlier start
        # of it, for example after the wall clock was set back.
        ahead = _version(record) > _version(self.own)
        suspected = (
            record.suspected and record.incarnation >= self.own.incarnation
        )
        if not (ahead or suspected):
            return False
        incarnation = max(record.incarnation, self.own.incarnation) + 1
        self.own = attrs.evolve(self.own, incarnation=incarnation)
        self.beat()
        return True

    def outgoing(self, name: str) -> model.EntryRecord | None:
        """Returns the record to gossip, or None for a dead entry."""
        if name == self.own.name:
            return self.own
        known = self.others.get(name)
        if known is None or known.dead():
            return None
        return attrs.evolve(known.record, suspected=known.suspected())

    def live(self) -> list[model.EntryRecord]:
        """Returns the entries that take requests, in the order of names."""
        found = [known.record for known in self.others.values() if known.live()]
        if self.own.state in TAKES_REQUESTS:
            found.append(self.own)
        return sorted(found, key=lambda record: record.name)

    def suspects(self) -> set[str]:
        """Returns the names of the suspected entries."""
        return {
            name for name, known in self.others.items() if known.suspected()
        }

    def reachable(self) -> list[model.NodeAddress]:
        """Returns the peer addresses of the other entries not dead."""
        return [
            known.record.peer_address
            for known in self.others.values()
            if not known.dead()
        ]

    def lost(self) -> list[model.NodeAddress]:
        """Returns the peer addresses of dead entries that did not leave."""
        return [
            known.record.peer_address
            for known in self.others.values()
            if known.dead()
            and known.record.state is not model.EntryState.LEAVING
        ]

    def newest_revision(self) -> int:
        """Returns the highest revision that a live entry has in force."""
        return max((record.revision for record in self.live()), default=0)

    def sweep(self) -> Iterator[str]:
        """Forgets long dead entries and yields their names."""
        forgotten = [
            name
            for name, known in self.others.items()
            if known.silence_s() > FORGET_AFTER_S
        ]
        for name in forgotten:
            del self.others[name]
            yield name


def _probation_s(flaps: int) -> float:
    # The first return is free: it may be this entry that was cut off.
    if flaps < 2:
        return 0.0
    return min(FIRST_PROBATION_S * 2.0 ** (flaps - 2), MAX_PROBATION_S)


def _version(record: model.EntryRecord) -> tuple[int, int]:
    return (record.incarnation, record.heartbeat)
