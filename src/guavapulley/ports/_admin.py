"""What operators may ask of the control role."""

from collections.abc import Sequence
from typing import Any
from typing import Protocol

import attrs

from guavapulley import errors
from guavapulley import model

CHANGE_NOT_ACCEPTED = errors.register_code(
    "CHANGE_NOT_ACCEPTED",
    "The change was not accepted and will not be; the replica has no quorum.",
)
CHANGE_UNKNOWN = errors.register_code(
    "CHANGE_UNKNOWN",
    "The change may or may not be accepted; resend it with its request ID.",
)
READ_FAILED = errors.register_code(
    "READ_FAILED", "The control role could not answer a question."
)


class AdminError(errors.GuavapulleyError):
    """The control role did not do what an operator asked.

    Attributes:
        not_run: Whether the change certainly has no effect, now or later.
    """

    def __init__(
        self, code: str, message: str, *, not_run: bool, **details: Any
    ) -> None:
        super().__init__(code, message, **details)
        self.not_run = not_run


@attrs.frozen
class ConfigurationView:
    """The configuration as one control replica knows it.

    Attributes:
        configuration: The configuration.
        confirmed: Whether a majority confirmed it at the time of the call;
            otherwise it may be stale.
    """

    configuration: model.Configuration
    confirmed: bool


@attrs.frozen
class AcceptedChange:
    """An accepted change, for the history.

    Attributes:
        revision: Revision that it made.
        change: The change.
        accepted_at_s: Unix time at which the leader proposed it.
    """

    revision: int
    change: model.Change
    accepted_at_s: float


@attrs.frozen
class EntryRevision:
    """Which revision is in force at an entry, as far as control knows.

    Attributes:
        entry: Name of the entry.
        revision: Revision in force at its last contact.
        contact_age_s: Seconds since its last contact.
        behind_s: Seconds since the revision asked for was accepted, while the
            entry does not have it; None when it has.
        detached_in_s: Seconds until an entry without contact has certainly
            stopped steering across regions; 0 when it has, None while it is
            in contact.
    """

    entry: str
    revision: int
    contact_age_s: float
    behind_s: float | None = None
    detached_in_s: float | None = None


@attrs.frozen
class RevisionStatus:
    """How far a revision is in force.

    Attributes:
        revision: Revision asked for.
        current: Newest accepted revision.
        confirmed: Whether a majority confirmed `current`.
        entries: All entries that control knows, by name.
    """

    revision: int
    current: int
    confirmed: bool
    entries: tuple[EntryRevision, ...] = ()


@attrs.frozen
class ReplicaView:
    """A control replica as another one sees it.

    Attributes:
        address: Peer address.
        status: Its own answer; None when it gave none.
    """

    address: model.NodeAddress
    status: model.ReplicaStatus | None


@attrs.frozen
class ExplainedUpstream:
    """Why an upstream was or was not chosen.

    Attributes:
        upstream: Name of the upstream.
        reason: Rule that excluded it; empty for a candidate.
        score: Score of a candidate; the lowest wins.
    """

    upstream: str
    reason: str = ""
    score: float | None = None


@attrs.frozen
class ExplainedAttempt:
    """One dispatch of a request.

    Attributes:
        upstream: Where it went.
        kind: `first`, `retry` or `hedge`.
        duration_s: Seconds until its outcome.
        outcome: `answered`, `cancelled` or the code of the error.
    """

    upstream: str
    kind: str
    duration_s: float
    outcome: str


@attrs.frozen
class Explanation:
    """What an entry decided for a request, and why.

    Attributes:
        request_id: ID of the request.
        entry: Entry that decided.
        service: Service asked for.
        revision: Configuration revision that it used.
        intent: Intent that took the request; empty for the default.
        waited_s: Seconds in the queue.
        outcome: `answered` or the code of the error; empty while running.
        upstreams: Candidates and exclusions of the last choice.
        attempts: Dispatches.
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
    """Answers operators; any control replica forwards what needs the leader.

    Each method raises `AdminError` when it has no answer in time.
    """

    def local_status(self) -> model.ReplicaStatus | None:
        """Returns the status of the replica that is asked."""

    async def configuration(self) -> ConfigurationView:
        """Returns the current configuration."""

    async def change(self, change: model.Change) -> model.Verdict:
        """Decides on a change; a resend gets the first verdict.

        Raises:
            AdminError: There is no verdict; `not_run` tells whether the change
                may still be accepted.
        """

    async def history(self, after: int, limit: int) -> Sequence[AcceptedChange]:
        """Returns the newest accepted changes, newest first.

        Args:
            after: Only changes with a greater revision.
            limit: Most changes to return.
        """

    async def revision_status(self, revision: int | None) -> RevisionStatus:
        """Returns how far a revision is in force; None asks for the newest."""

    async def replicas(self) -> Sequence[ReplicaView]:
        """Returns the control replicas."""

    async def entries(self) -> Sequence[model.EntryRecord]:
        """Returns the entries that are known, by name."""

    async def upstreams(self) -> Sequence[model.UpstreamRecord]:
        """Returns the upstreams that are known, by service and name."""

    async def outcome(
        self, service: str, key: str
    ) -> model.StoredOutcome | None:
        """Returns what is known of an idempotency key."""

    async def explain(self, request_id: str) -> Explanation | None:
        """Returns what an entry still knows of a request."""
