"""The administration port: queries and changes by operators."""

from collections.abc import Sequence
from typing import Any
from typing import Protocol

import attrs

from guavapulley import errors
from guavapulley import model

CHANGE_NOT_ACCEPTED = errors.register_code(
    "CHANGE_NOT_ACCEPTED",
    "The change was not and will not be accepted; the replica has no quorum.",
)
CHANGE_UNKNOWN = errors.register_code(
    "CHANGE_UNKNOWN",
    "The change may be accepted or not; resend it with the same request ID.",
)
READ_FAILED = errors.register_code(
    "READ_FAILED", "The control role could not answer a query."
)


class AdminError(errors.GuavapulleyError):
    """The control role could not serve an operator's request.

    Attributes:
        not_run: Whether it is certain that the change has no effect, now or
            later.
    """

    def __init__(
        self, code: str, message: str, *, not_run: bool, **details: Any
    ) -> None:
        super().__init__(code, message, **details)
        self.not_run = not_run


@attrs.frozen
class ConfigurationView:
    """The configuration as one control replica sees it.

    Attributes:
        configuration: The configuration.
        confirmed: Whether a majority confirmed it during the call; otherwise it
            may be stale.
    """

    configuration: model.Configuration
    confirmed: bool


@attrs.frozen
class AcceptedChange:
    """An accepted change in the history of the configuration.

    Attributes:
        revision: Revision that the change created.
        change: The change.
        accepted_at_s: Unix time in seconds at which the leader proposed it.
    """

    revision: int
    change: model.Change
    accepted_at_s: float


@attrs.frozen
class EntryRevision:
    """The revision in force at an entry, as last reported to control.

    Attributes:
        entry: Name of the entry.
        revision: Revision in force at the last contact of the entry.
        contact_age_s: Seconds since the last contact of the entry.
        behind_s: Seconds since the requested revision was accepted; None when
            it is in force at the entry.
        detached_in_s: Seconds until it is certain that an entry without contact
            has stopped steering across regions; 0 when it is certain now,
            None while the entry is in contact.
    """

    entry: str
    revision: int
    contact_age_s: float
    behind_s: float | None = None
    detached_in_s: float | None = None


@attrs.frozen
class RevisionStatus:
    """The rollout of a revision to the entries.

    Attributes:
        revision: Requested revision.
        current: Newest accepted revision.
        confirmed: Whether a majority confirmed `current`.
        entries: All entries that have contacted control, sorted by name.
    """

    revision: int
    current: int
    confirmed: bool
    entries: tuple[EntryRevision, ...] = ()


@attrs.frozen
class ReplicaView:
    """The status of a control replica as another replica received it.

    Attributes:
        address: Peer address of the replica.
        status: Status that the replica returned; None when it did not answer.
    """

    address: model.NodeAddress
    status: model.ReplicaStatus | None


@attrs.frozen
class ExplainedUpstream:
    """Why an upstream was a candidate for a request or was excluded.

    Attributes:
        upstream: Name of the upstream.
        reason: Rule that excluded the upstream; empty for a candidate.
        score: Score of a candidate; the lowest wins.
    """

    upstream: str
    reason: str = ""
    score: float | None = None


@attrs.frozen
class ExplainedAttempt:
    """One dispatch of a request to an upstream.

    Attributes:
        upstream: Name of the upstream.
        kind: `first`, `retry` or `hedge`.
        duration_s: Seconds from the dispatch to its outcome.
        outcome: `answered`, `cancelled` or an error code.
    """

    upstream: str
    kind: str
    duration_s: float
    outcome: str


@attrs.frozen
class Explanation:
    """The steering decision of an entry for a request, with its reasons.

    Attributes:
        request_id: ID of the request.
        entry: Entry that made the decision.
        service: Requested service.
        revision: Configuration revision in force at the decision.
        intent: Intent that matched the request; empty if the
            default applied.
        waited_s: Seconds that the request spent in the queue.
        outcome: `answered` or an error code; empty while the request runs.
        upstreams: Candidates and excluded upstreams of the last choice.
        attempts: Dispatches of the request.
    """

    request_id: str
    entry: str
    service: str
    revision: int = 0
    intent: str = ""
    waited_s: float = 0.0
    outcome: str = ""
    upstreams: tuple[ExplainedUpstream, ...] = ()
    attempts: tuple[ExplainedAttempt, ...] = ()


class AdminService(Protocol):
    """Serves operators at any control replica.

    Calls that need the leader are forwarded to it. Each method raises
    `AdminError` when no result is available in time.
    """

    def local_status(self) -> model.ReplicaStatus | None:
        """Returns the status of the called replica, or None if it has none."""

    async def configuration(self) -> ConfigurationView:
        """Returns the current configuration."""

    async def propose_change(self, change: model.Change) -> model.Verdict:
        """Proposes a change and returns the verdict on it.

        A resend with the same request ID gets the verdict of the first call.

        Raises:
            AdminError: There is no verdict. Unless `not_run` is set, the change
                may still be accepted.
        """

    async def history(self, after: int, limit: int) -> Sequence[AcceptedChange]:
        """Returns the latest accepted changes, newest first.

        Args:
            after: Only changes with a greater revision are returned.
            limit: Maximum number of changes.
        """

    async def revision_status(self, revision: int | None) -> RevisionStatus:
        """Returns the rollout status of a revision; None means the newest."""

    async def replicas(self) -> Sequence[ReplicaView]:
        """Returns the status of each control replica."""

    async def entries(self) -> Sequence[model.EntryRecord]:
        """Returns the entries in the membership, sorted by name."""

    async def upstreams(self) -> Sequence[model.UpstreamRecord]:
        """Returns the known upstreams, sorted by service and name."""

    async def outcome(
        self, service: str, key: str
    ) -> model.StoredOutcome | None:
        """Returns the record of an idempotency key; None if there is none."""

    async def explain(self, request_id: str) -> Explanation | None:
        """Returns the decision for a request; None if no entry retains it."""
