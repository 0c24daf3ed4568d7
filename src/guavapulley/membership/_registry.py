"""What one entry knows of entries and upstreams."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from guavapulley import model
from guavapulley import ports
from guavapulley.membership import _entries
from guavapulley.membership import _errors
from guavapulley.membership import _rotation
from guavapulley.membership import _upstreams

ENTRY = "entry"
UPSTREAM = "upstream"


class Registry:
    """Entries and upstreams, as announced here and as gossiped.

    It is the membership part of `ports.SteeringView`. All ages are counted on
    trio's clock; records travel with ages, so clocks need not agree.

    Args:
        own: Record of this entry at its start.

    Attributes:
        notify: Called with the key of a record that all live entries must
            learn at once; set by the `Gossiper`.
    """

    def __init__(self, own: model.EntryRecord) -> None:
        self.entries = _entries.EntryTable(own)
        self.known_upstreams = _upstreams.UpstreamTable()
        self.rotation = _rotation.Rotation()
        self.notify: Callable[[_rotation.Key], None] = lambda key: None
        self.rotation.changed((ENTRY, own.name))

    @property
    def own(self) -> model.EntryRecord:
        """Record of this entry."""
        return self.entries.own

    def announce(self, record: model.UpstreamRecord) -> None:
        """Takes the announcement of an upstream, or a full renewal.

        Raises:
            MembershipError: The record makes no sense, or a later start of
                the upstream is known or this one is leaving.
        """
        _check_record(record)
        self._check_current(record.upstream, record.incarnation)
        self._merge_upstream(attrs.evolve(record, age_s=0.0))

    def renew(
        self,
        upstream: str,
        incarnation: int,
        sequence: int,
        load: model.LoadReport | None,
    ) -> None:
        """Takes a renewal of a known upstream.

        Args:
            upstream: Name of the upstream.
            incarnation: Start of its process.
            sequence: Count of its renewals; a lower one than known is
                ignored.
            load: Its load report, if any.

        Raises:
            MembershipError: The upstream is unknown and must announce itself,
                or a later start is known or this one is leaving.
        """
        known = self._check_current(upstream, incarnation)
        if known is None or known.incarnation != incarnation:
            raise _errors.MembershipError(
                _errors.UPSTREAM_UNKNOWN, f"{upstream} must announce itself"
            )
        self._merge_upstream(
            attrs.evolve(known, sequence=sequence, load=load, age_s=0.0)
        )

    def leave(self, upstream: str, incarnation: int) -> None:
        """Takes the departure of an upstream and notifies all entries.

        Raises:
            MembershipError: The upstream is unknown, or a later start of it
                is known.
        """
        known = self.upstream(upstream)
        if known is None or known.incarnation < incarnation:
            raise _errors.MembershipError(
                _errors.UPSTREAM_UNKNOWN, f"{upstream} is not known here"
            )
        if known.incarnation > incarnation:
            raise _superseded(known)
        self._merge_upstream(
            attrs.evolve(known, state=model.UpstreamState.LEAVING, age_s=0.0)
        )
        self.notify((UPSTREAM, upstream))

    def upstream(self, name: str) -> model.UpstreamRecord | None:
        """Returns the newest record of an upstream."""
        known = self.known_upstreams.known.get(name)
        return known.record if known is not None else None

    def record_dispatch_result(self, upstream: str, succeeded: bool) -> None:
        """Takes the result of a dispatch to an upstream.

        Args:
            upstream: Name of the upstream.
            succeeded: Whether a whole answer came back. A failure is a failed
                connect or a broken answer, not an error status.
        """
        self.known_upstreams.record_dispatch_result(upstream, succeeded)

    def upstreams(self, service: str) -> Sequence[ports.KnownUpstream]:
        """Returns the upstreams of a service, in the order of names."""
        return self.known_upstreams.view(service)

    def live_entries(self) -> Sequence[model.EntryRecord]:
        """Returns the entries that take requests, in the order of names."""
        return self.entries.live()

    def suspects(self) -> set[str]:
        """Returns the names of live entries that may have died."""
        return self.entries.suspects()

    def newest_revision(self) -> int:
        """Returns the highest revision in force at a live entry."""
        return self.entries.newest_revision()

    def set_state(self, state: model.EntryState) -> None:
        """Changes the state of this entry; `LEAVING` is notified at once."""
        if state is self.own.state:
            return
        self.entries.own = attrs.evolve(self.own, state=state)
        self._own_changed(urgent=True)
        if state is model.EntryState.LEAVING:
            self.notify((ENTRY, self.own.name))

    def set_status(
        self,
        revision: int,
        in_flight: dict[str, int],
        claims: dict[str, int] | None = None,
    ) -> None:
        """Changes what is gossiped of the work of this entry.

        Args:
            revision: Revision in force.
            in_flight: Own requests in flight by upstream.
            claims: Claimed slots by `SERVICE/REGION`.
        """
        self.entries.own = attrs.evolve(
            self.own,
            revision=revision,
            in_flight=in_flight,
            claims=claims or {},
        )

    def beat(self) -> None:
        """Raises the heartbeat and forgets old records."""
        self._own_changed()
        for name in self.entries.sweep():
            self.rotation.discard((ENTRY, name))
        for name in self.known_upstreams.sweep():
            self.rotation.discard((UPSTREAM, name))

    def outgoing(self, limit: int) -> model.GossipReply:
        """Returns the records for one message, at most `limit`."""
        return self.records(self.rotation.take(limit))

    def records(self, keys: Iterable[_rotation.Key]) -> model.GossipReply:
        """Returns the records of the keys that are still to be gossiped."""
        keys = list(keys)
        entries = (
            self.entries.outgoing(name) for kind, name in keys if kind == ENTRY
        )
        upstreams = (
            self.known_upstreams.outgoing(name)
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
        """Takes gossiped records."""
        for entry in entries:
            if self.entries.merge(entry):
                urgent = entry.name == self.own.name
                self.rotation.changed((ENTRY, entry.name), urgent=urgent)
        for upstream in upstreams:
            self._merge_upstream(upstream)

    def _own_changed(self, *, urgent: bool = False) -> None:
        self.entries.beat()
        self.rotation.changed((ENTRY, self.own.name), urgent=urgent)

    def _merge_upstream(self, record: model.UpstreamRecord) -> None:
        if self.known_upstreams.merge(record):
            leaving = record.state is model.UpstreamState.LEAVING
            self.rotation.changed((UPSTREAM, record.upstream), urgent=leaving)

    def _check_current(
        self, upstream: str, incarnation: int
    ) -> model.UpstreamRecord | None:
        known = self.upstream(upstream)
        if known is None or known.incarnation < incarnation:
            return known
        leaving = known.state is model.UpstreamState.LEAVING
        if known.incarnation > incarnation or leaving:
            raise _superseded(known)
        return known


def _superseded(known: model.UpstreamRecord) -> _errors.MembershipError:
    return _errors.MembershipError(
        _errors.UPSTREAM_SUPERSEDED,
        f"incarnation {known.incarnation} of {known.upstream} is known"
        f" as {known.state}",
        incarnation=known.incarnation,
    )


def _check_record(record: model.UpstreamRecord) -> None:
    problems = (
        (not record.upstream, "the upstream has no name"),
        (not record.service, "the upstream names no service"),
        (record.slots < 1, "slots must be at least 1"),
        (record.max_connections < 1, "the connection limit must be positive"),
        (len(record.labels) > model.MAX_LABELS, "there are too many labels"),
        (
            any(
                len(text) > model.MAX_LABEL_CHARS
                for pair in record.labels.items()
                for text in pair
            ),
            "a label is too long",
        ),
    )
    message = next((text for wrong, text in problems if wrong), None)
    if message is not None:
        raise _errors.MembershipError(_errors.UPSTREAM_INVALID, message)
