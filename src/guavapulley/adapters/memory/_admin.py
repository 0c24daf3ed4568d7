"""Administration service with an in-memory configuration."""

from collections.abc import Sequence

import attrs
import trio

from guavapulley import model
from guavapulley import ports


@attrs.define
class MemoryAdmin:
    """`ports.AdminService` in one process, without replication, for tests.

    Attributes:
        current_configuration: Current configuration.
        accepted_changes: Accepted changes, oldest first.
        verdicts: Verdicts by request ID of the change.
        confirmed: Whether reads are reported as confirmed by a majority.
        revision_statuses: Results of successive calls of `revision_status`; the
            last one is repeated. If empty, every entry has the current
            revision.
        replica_views: Result of `replicas`.
        entry_records: Result of `entries`.
        upstream_records: Result of `upstreams`.
        outcomes: Outcomes by service and key.
        explanations: Explanations by request ID.
        errors_to_raise: Errors that the next calls of `change` raise, in this
            order, before they decide.
        delayed_answers: Number of the next calls of `change` that decide but
            return only after `answer_delay_s`.
        answer_delay_s: Delay of such a call, in seconds.
    """

    current_configuration: model.Configuration = attrs.field(
        factory=model.Configuration
    )
    accepted_changes: list[ports.AcceptedChange] = attrs.field(factory=list)
    verdicts: dict[str, model.Verdict] = attrs.field(factory=dict)
    confirmed: bool = True
    revision_statuses: list[ports.RevisionStatus] = attrs.field(factory=list)
    replica_views: Sequence[ports.ReplicaView] = ()
    entry_records: Sequence[model.EntryRecord] = ()
    upstream_records: Sequence[model.UpstreamRecord] = ()
    outcomes: dict[tuple[str, str], model.StoredOutcome] = attrs.field(
        factory=dict
    )
    explanations: dict[str, ports.Explanation] = attrs.field(factory=dict)
    errors_to_raise: list[ports.AdminError] = attrs.field(factory=list)
    delayed_answers: int = 0
    answer_delay_s: float = 0.0

    def local_status(self) -> model.ReplicaStatus | None:
        """Returns None, because there is no replica."""
        return None

    async def configuration(self) -> ports.ConfigurationView:
        """Returns the current configuration."""
        return ports.ConfigurationView(
            self.current_configuration, self.confirmed
        )

    async def propose_change(self, change: model.Change) -> model.Verdict:
        """Decides on a change; a resent change gets the first verdict."""
        if self.errors_to_raise:
            raise self.errors_to_raise.pop(0)
        verdict = self.verdicts.get(change.request_id)
        if verdict is None:
            verdict = self._decide(change)
            self.verdicts[change.request_id] = verdict
        if self.delayed_answers > 0:
            self.delayed_answers -= 1
            await trio.sleep(self.answer_delay_s)
        return verdict

    def _decide(self, change: model.Change) -> model.Verdict:
        current = self.current_configuration.revision
        if change.base_revision != current:
            return model.Verdict(
                model.VerdictKind.CONFLICT, current, "another change came first"
            )
        revision = current + 1
        self.current_configuration = self.current_configuration.with_changes(
            revision, change.puts, change.deletes
        )
        self.accepted_changes.append(
            ports.AcceptedChange(revision, change, 0.0)
        )
        return model.Verdict(model.VerdictKind.ACCEPTED, revision)

    async def history(
        self, after: int, limit: int
    ) -> Sequence[ports.AcceptedChange]:
        """Returns the last changes accepted after a revision, newest first."""
        newer = [
            accepted_change
            for accepted_change in self.accepted_changes
            if accepted_change.revision > after
        ]
        return newer[::-1][:limit]

    async def revision_status(
        self, revision: int | None
    ) -> ports.RevisionStatus:
        """Returns which entries have a revision."""
        if self.revision_statuses:
            is_last = len(self.revision_statuses) == 1
            return (
                self.revision_statuses[0]
                if is_last
                else self.revision_statuses.pop(0)
            )
        current = self.current_configuration.revision
        requested = current if revision is None else revision
        return ports.RevisionStatus(
            requested,
            current,
            self.confirmed,
            tuple(
                ports.EntryRevision(entry.name, current, 0.0)
                for entry in self.entry_records
            ),
        )

    async def replicas(self) -> Sequence[ports.ReplicaView]:
        """Returns the control replicas."""
        return self.replica_views

    async def entries(self) -> Sequence[model.EntryRecord]:
        """Returns the entries."""
        return self.entry_records

    async def upstreams(self) -> Sequence[model.UpstreamRecord]:
        """Returns the upstreams."""
        return self.upstream_records

    async def outcome(
        self, service: str, key: str
    ) -> model.StoredOutcome | None:
        """Returns the outcome of an idempotency key; None if there is none."""
        return self.outcomes.get((service, key))

    async def explain(self, request_id: str) -> ports.Explanation | None:
        """Returns the explanation of a request; None if there is none."""
        return self.explanations.get(request_id)
