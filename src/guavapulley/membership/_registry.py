"""Registry of entries and upstreams in one entry."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from guavapulley import model
from guavapulley import ports
from guavapulley.membership import _entries
from guavapulley.membership import _errors
from guavapulley.membership import _gossip_queue
from guavapulley.membership import _upstreams
from guavapulley.membership import _validation

ENTRY = "entry"
UPSTREAM = "upstream"


class Registry:
    """Records of entries and upstreams, announced here or gossiped.

    It is the membership part of `ports.SteeringView`. Times are those of
    trio's clock. Gossiped records carry ages instead of times, so the clocks
    of entries need not agree.

    Args:
        own_record: Record of this entry at its start.

    Attributes:
        entry_table: Records of entries.
        upstream_table: Records of upstreams.
        gossip_queue: Selects the records of a gossip message.
        notify: Called with the key of a record that must be sent to all live
            entries without delay; set by the `Gossiper`.
    """

    def __init__(self, own_record: model.EntryRecord) -> None:
        self.entry_table = _entries.EntryTable(own_record)
        self.upstream_table = _upstreams.UpstreamTable()
        self.gossip_queue = _gossip_queue.GossipQueue()
        self.notify: Callable[[_gossip_queue.Key], None] = lambda key: None
        self.gossip_queue.mark_changed((ENTRY, own_record.name))

    @property
    def own_record(self) -> model.EntryRecord:
        """Record of this entry."""
        return self.entry_table.own_record

    def announce(self, record: model.UpstreamRecord) -> None:
        """Registers an upstream, or renews its complete record.

        Raises:
            MembershipError: The record is invalid, a later incarnation of the
                upstream is registered, or this one is leaving.
        """
        _validation.validate_record(record)
        self._check_not_superseded(record.upstream, record.incarnation)
        self._merge_upstream(attrs.evolve(record, age_s=0.0))

    def renew(
        self,
        upstream: str,
        incarnation: int,
        sequence: int,
        load: model.LoadReport | None,
    ) -> None:
        """Renews the record of a registered upstream.

        Args:
            upstream: Name of the upstream.
            incarnation: Incarnation of its process.
            sequence: Sequence number of the renewal. A renewal that is not
                newer than the record is ignored.
            load: Load report of the upstream, if any.

        Raises:
            MembershipError: A value is invalid, the upstream must announce
                itself first, a later incarnation is registered, or this one is
                leaving.
        """
        _validation.validate_renewal(sequence, load)
        current = self._check_not_superseded(upstream, incarnation)
        if current is None or current.incarnation != incarnation:
            raise _errors.MembershipError(
                _errors.UPSTREAM_UNKNOWN, f"{upstream} must announce itself"
            )
        self._merge_upstream(
            attrs.evolve(current, sequence=sequence, load=load, age_s=0.0)
        )

    def leave(self, upstream: str, incarnation: int) -> None:
        """Marks an upstream as leaving and notifies all live entries.

        Raises:
            MembershipError: The upstream is not registered, or a later
                incarnation of it is.
        """
        current = self.upstream(upstream)
        if current is None or current.incarnation < incarnation:
            raise _errors.MembershipError(
                _errors.UPSTREAM_UNKNOWN,
                f"{upstream} is not registered at this entry",
            )
        if current.incarnation > incarnation:
            raise _superseded_error(current)
        self._merge_upstream(
            attrs.evolve(current, state=model.UpstreamState.LEAVING, age_s=0.0)
        )
        self.notify((UPSTREAM, upstream))

    def upstream(self, name: str) -> model.UpstreamRecord | None:
        """Returns the newest record of an upstream, or None without one."""
        current = self.upstream_table.by_name.get(name)
        return current.record if current is not None else None

    def record_dispatch_result(self, upstream: str, succeeded: bool) -> None:
        """Records the result of a dispatch as evidence of the upstream's state.

        Args:
            upstream: Name of the upstream.
            succeeded: Whether the answer was complete. A failure is a failed
                connect or a broken answer, not an error status.
        """
        self.upstream_table.record_dispatch_result(upstream, succeeded)

    def upstreams(self, service: str) -> Sequence[ports.UpstreamObservation]:
        """Returns the upstreams of a service, ordered by name."""
        return self.upstream_table.view(service)

    def live_entries(self) -> Sequence[model.EntryRecord]:
        """Returns the entries that accept requests, ordered by name."""
        return self.entry_table.live_entries()

    def suspected_names(self) -> set[str]:
        """Returns the names of the suspected entries."""
        return self.entry_table.suspected_names()

    def highest_revision(self) -> int:
        """Returns the highest configuration revision of the live entries."""
        return self.entry_table.highest_revision()

    def set_state(self, state: model.EntryState) -> None:
        """Sets the state of this entry; `LEAVING` is sent to all at once."""
        if state is self.own_record.state:
            return
        self.entry_table.own_record = attrs.evolve(self.own_record, state=state)
        self._publish_own_record(urgent=True)
        if state is model.EntryState.LEAVING:
            self.notify((ENTRY, self.own_record.name))

    def set_status(
        self,
        revision: int,
        in_flight: dict[str, int],
        claims: dict[str, int] | None = None,
    ) -> None:
        """Sets the status of this entry to gossip.

        Args:
            revision: Configuration revision in force.
            in_flight: Number of this entry's requests in flight by upstream.
            claims: Number of claimed slots by `SERVICE/REGION`.
        """
        self.entry_table.own_record = attrs.evolve(
            self.own_record,
            revision=revision,
            in_flight=in_flight,
            claims=claims or {},
        )

    def begin_round(self) -> None:
        """Increments the heartbeat and removes old records."""
        self._publish_own_record()
        for name in self.entry_table.prune():
            self.gossip_queue.discard((ENTRY, name))
        for name in self.upstream_table.prune():
            self.gossip_queue.discard((UPSTREAM, name))

    def next_records(self, limit: int) -> model.GossipReply:
        """Returns at most `limit` records for the next gossip message."""
        return self.records(self.gossip_queue.next_keys(limit))

    def records(self, keys: Iterable[_gossip_queue.Key]) -> model.GossipReply:
        """Returns the records of the keys, without those not to be gossiped."""
        keys = list(keys)
        entries = (
            self.entry_table.record_to_gossip(name)
            for kind, name in keys
            if kind == ENTRY
        )
        upstreams = (
            self.upstream_table.record_to_gossip(name)
            for kind, name in keys
            if kind == UPSTREAM
        )
        return model.GossipReply(
            tuple(record for record in entries if record is not None),
            tuple(record for record in upstreams if record is not None),
        )

    def merge(
        self,
        entries: Iterable[model.EntryRecord],
        upstreams: Iterable[model.UpstreamRecord],
    ) -> None:
        """Merges gossiped records and queues those that were new."""
        for entry in entries:
            if self.entry_table.merge(entry):
                urgent = entry.name == self.own_record.name
                self.gossip_queue.mark_changed(
                    (ENTRY, entry.name), urgent=urgent
                )
        for upstream in upstreams:
            self._merge_upstream(upstream)

    def _publish_own_record(self, *, urgent: bool = False) -> None:
        self.entry_table.increment_heartbeat()
        self.gossip_queue.mark_changed(
            (ENTRY, self.own_record.name), urgent=urgent
        )

    def _merge_upstream(self, record: model.UpstreamRecord) -> None:
        if self.upstream_table.merge(record):
            leaving = record.state is model.UpstreamState.LEAVING
            self.gossip_queue.mark_changed(
                (UPSTREAM, record.upstream), urgent=leaving
            )

    def _check_not_superseded(
        self, upstream: str, incarnation: int
    ) -> model.UpstreamRecord | None:
        current = self.upstream(upstream)
        if current is None or current.incarnation < incarnation:
            return current
        leaving = current.state is model.UpstreamState.LEAVING
        if current.incarnation > incarnation or leaving:
            raise _superseded_error(current)
        return current


def _superseded_error(current: model.UpstreamRecord) -> _errors.MembershipError:
    return _errors.MembershipError(
        _errors.UPSTREAM_SUPERSEDED,
        f"incarnation {current.incarnation} of {current.upstream} is registered"
        f" as {current.state}",
        incarnation=current.incarnation,
    )
