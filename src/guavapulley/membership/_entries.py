"""Failure detection of entries by gossiped heartbeats.

A silent entry is first suspected and then dead. A suspected entry refutes the
suspicion with a higher incarnation. An entry that repeatedly returns from
death is put on probation.
"""

from collections.abc import Iterator

import attrs
import trio

from guavapulley import model

SUSPECT_AFTER_S = 3.0
DEAD_AFTER_S = 6.0
# Dead entries are kept for this time, because calls to them are what merges the
# two sides of a partition again.
FORGET_AFTER_S = 3600.0
MIN_PROBATION_S = 2.0
MAX_PROBATION_S = 60.0
FLAP_WINDOW_S = 300.0

ACCEPTING_STATES = (model.EntryState.ALIVE, model.EntryState.DETACHED)


@attrs.define
class RemoteEntry:
    """State of another entry; times are in seconds of trio's clock.

    Attributes:
        record: Newest record.
        heartbeat_at_s: Time of the last new heartbeat.
        flaps: Number of returns from death, each within `FLAP_WINDOW_S` of
            the previous one.
        last_flap_at_s: Time of the last return from death.
        probation_until_s: Time before which the entry does not count as live.
    """

    record: model.EntryRecord
    heartbeat_at_s: float
    flaps: int = 0
    last_flap_at_s: float = 0.0
    probation_until_s: float = 0.0

    def silence_s(self) -> float:
        """Returns the seconds since the last new heartbeat."""
        return trio.current_time() - self.heartbeat_at_s

    def is_dead(self) -> bool:
        """Returns whether the entry counts as dead."""
        return self.silence_s() > DEAD_AFTER_S

    def is_suspected(self) -> bool:
        """Returns whether the entry is silent, but not yet dead."""
        return SUSPECT_AFTER_S < self.silence_s() <= DEAD_AFTER_S

    def is_live(self) -> bool:
        """Returns whether the entry accepts requests."""
        return (
            not self.is_dead()
            and self.record.state in ACCEPTING_STATES
            and trio.current_time() >= self.probation_until_s
        )

    def update(self, record: model.EntryRecord) -> None:
        """Replaces the record by a newer one.

        A repeated return from death starts a probation.
        """
        now_s = trio.current_time()
        if self.is_dead() and self.record.state is not model.EntryState.LEAVING:
            within_window = now_s - self.last_flap_at_s <= FLAP_WINDOW_S
            self.flaps = self.flaps + 1 if self.flaps and within_window else 1
            self.last_flap_at_s = now_s
            self.probation_until_s = now_s + _probation_s(self.flaps)
        self.record = record
        self.heartbeat_at_s = now_s


class EntryTable:
    """Table of all entries, with this entry's own record.

    Args:
        own_record: Record of this entry at its start.

    Attributes:
        remote_entries: States of the other entries by name.
    """

    def __init__(self, own_record: model.EntryRecord) -> None:
        self.own_record = own_record
        self.remote_entries: dict[str, RemoteEntry] = {}

    def increment_heartbeat(self) -> None:
        """Increments the heartbeat of this entry."""
        self.own_record = attrs.evolve(
            self.own_record, heartbeat=self.own_record.heartbeat + 1
        )

    def merge(self, record: model.EntryRecord) -> bool:
        """Merges a gossiped record into the table.

        Returns:
            Whether the table changed.
        """
        if record.name == self.own_record.name:
            return self._refute(record)
        record = attrs.evolve(record, suspected=False)
        remote = self.remote_entries.get(record.name)
        if remote is None:
            self.remote_entries[record.name] = RemoteEntry(
                record, trio.current_time()
            )
            return True
        if _record_version(record) <= _record_version(remote.record):
            return False
        remote.update(record)
        return True

    def _refute(self, record: model.EntryRecord) -> bool:
        # A record with a higher version than this process has comes from an
        # earlier start of the process, for example if the wall clock was
        # set back since.
        is_ahead = _record_version(record) > _record_version(self.own_record)
        suspected = (
            record.suspected
            and record.incarnation >= self.own_record.incarnation
        )
        if not (is_ahead or suspected):
            return False
        incarnation = max(record.incarnation, self.own_record.incarnation) + 1
        self.own_record = attrs.evolve(self.own_record, incarnation=incarnation)
        self.increment_heartbeat()
        return True

    def record_to_gossip(self, name: str) -> model.EntryRecord | None:
        """Returns the record to gossip of an entry.

        Returns:
            The record, or None if the entry is dead or not in the table.
        """
        if name == self.own_record.name:
            return self.own_record
        remote = self.remote_entries.get(name)
        if remote is None or remote.is_dead():
            return None
        return attrs.evolve(remote.record, suspected=remote.is_suspected())

    def live_entries(self) -> list[model.EntryRecord]:
        """Returns the entries that accept requests, ordered by name."""
        live_records = [
            remote.record
            for remote in self.remote_entries.values()
            if remote.is_live()
        ]
        if self.own_record.state in ACCEPTING_STATES:
            live_records.append(self.own_record)
        return sorted(live_records, key=lambda record: record.name)

    def suspected_names(self) -> set[str]:
        """Returns the names of the suspected entries."""
        return {
            name
            for name, remote in self.remote_entries.items()
            if remote.is_suspected()
        }

    def reachable_addresses(self) -> list[model.NodeAddress]:
        """Returns the peer addresses of the other entries that are not dead."""
        return [
            remote.record.peer_address
            for remote in self.remote_entries.values()
            if not remote.is_dead()
        ]

    def dead_addresses(self) -> list[model.NodeAddress]:
        """Returns the peer addresses of entries that died without leaving."""
        return [
            remote.record.peer_address
            for remote in self.remote_entries.values()
            if remote.is_dead()
            and remote.record.state is not model.EntryState.LEAVING
        ]

    def highest_revision(self) -> int:
        """Returns the highest configuration revision of the live entries."""
        return max(
            (record.revision for record in self.live_entries()), default=0
        )

    def prune(self) -> Iterator[str]:
        """Removes entries silent for `FORGET_AFTER_S`; yields their names."""
        pruned_names = [
            name
            for name, remote in self.remote_entries.items()
            if remote.silence_s() > FORGET_AFTER_S
        ]
        for name in pruned_names:
            del self.remote_entries[name]
            yield name


def _probation_s(flaps: int) -> float:
    # The first return has no probation, because this entry may have been the
    # one that was partitioned.
    if flaps < 2:
        return 0.0
    return min(MIN_PROBATION_S * 2.0 ** (flaps - 2), MAX_PROBATION_S)


def _record_version(record: model.EntryRecord) -> tuple[int, int]:
    return (record.incarnation, record.heartbeat)
