"""Administration service over a configuration in memory."""

from collections.abc import Sequence

import attrs
import trio

from guavapulley import model
from guavapulley import ports


@attrs.define
class MemoryAdmin:
    """`ports.AdminService` of one process, for tests and as a first look.

    Attributes:
        accepted: Accepted changes, oldest first.
        verdicts: Verdicts by request ID.
        confirmed: Whether reads count as confirmed by a majority.
        statuses: Answers to `revision_status`, the last one repeated; without
            any, every entry has the current revision.
        known_replicas: Answer to `replicas`.
        known_entries: Answer to `entries`.
        known_upstreams: Answer to `upstreams`.
        outcomes: Outcomes by service and key.
        explanations: Explanations by request ID.
        refusals: Errors that the next changes raise before they are decided.
        lost_answers: Next changes that are decided, but whose answers are
            delayed by `delay_s`.
        delay_s: Delay of a lost answer in seconds.
    """

    configuration_: model.Configuration = attrs.field(
        factory=model.Configuration
    )
    accepted: list[ports.AcceptedChange] = attrs.field(factory=list)
    verdicts: dict[str, model.Verdict] = attrs.field(factory=dict)
    confirmed: bool = True
    statuses: list[ports.RevisionStatus] = attrs.field(factory=list)
    known_replicas: Sequence[ports.ReplicaView] = ()
    known_entries: Sequence[model.EntryRecord] = ()
    known_upstreams: Sequence[model.UpstreamRecord] = ()
    outcomes: dict[tuple[str, str], model.StoredOutcome] = attrs.field(
        factory=dict
    )
    explanations: dict[str, ports.Explanation] = attrs.field(factory=dict)
    refusals: list[ports.AdminError] = attrs.field(factory=list)
    lost_answers: int = 0
    delay_s: float = 0.0

    def local_status(self) -> model.ReplicaStatus | None:
        """Returns nothing, because there is no replica."""
        return None

    async def configuration(self) -> ports.ConfigurationView:
        """Returns the current configuration."""
        return ports.ConfigurationView(self.configuration_, self.confirmed)

    async def change(self, change: model.Change) -> model.Verdict:
        """Decides on a change; a resend gets the first verdict."""
        if self.refusals:
            raise self.refusals.pop(0)
        verdict = self.verdicts.get(change.request_id)
        if verdict is None:
            verdict = self._decide(change)
            self.verdicts[change.request_id] = verdict
        if self.lost_answers > 0:
            self.lost_answers -= 1
            await trio.sleep(self.delay_s)
        return verdict

    def _decide(self, change: model.Change) -> model.Verdict:
        current = self.configuration_.revision
        if change.base_revision != current:
            return model.Verdict(
                model.VerdictKind.CONFLICT, current, "another change came first"
            )
        revision = current + 1
        self.configuration_ = self.configuration_.replaced(
            revision, change.puts, change.deletes
        )
        self.accepted.append(ports.AcceptedChange(revision, change, 0.0))
        return model.Verdict(model.VerdictKind.ACCEPTED, revision)

    async def history(
        self, after: int, limit: int
    ) -> Sequence[ports.AcceptedChange]:
        """Returns the newest accepted changes, newest first."""
        found = [item for item in self.accepted if item.revision > after]
        return found[::-1][:limit]

    async def revision_status(
        self, revision: int | None
    ) -> ports.RevisionStatus:
        """Returns how far a revision is in force."""
        if self.statuses:
            few = len(self.statuses) == 1
            return self.statuses[0] if few else self.statuses.pop(0)
        current = self.configuration_.revision
        wanted = current if revision is None else revision
        return ports.RevisionStatus(
            wanted,
            current,
            self.confirmed,
            tuple(
                ports.EntryRevision(entry.name, current, 0.0)
                for entry in self.known_entries
            ),
        )

    async def replicas(self) -> Sequence[ports.ReplicaView]:
        """Returns the control replicas."""
        return self.known_replicas

    async def entries(self) -> Sequence[model.EntryRecord]:
        """Returns the entries."""
        return self.known_entries

    async def upstreams(self) -> Sequence[model.UpstreamRecord]:
        """Returns the upstreams."""
        return self.known_upstreams

    async def outcome(
        self, service: str, key: str
    ) -> model.StoredOutcome | None:
        """Returns what is known of an idempotency key."""
        return self.outcomes.get((service, key))

    async def explain(self, request_id: str) -> ports.Explanation | None:
        """Returns what is known of a request."""
        return self.explanations.get(request_id)
