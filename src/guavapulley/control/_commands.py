"""Commands of the replicated log."""

import attrs

from guavapulley import model
from guavapulley import ports


@attrs.frozen
class ApplyChange:
    """Decides on a configuration change.

    Attributes:
        change: The change.
        proposed_at_s: Unix time of the proposing leader.
    """

    change: model.Change
    proposed_at_s: float


@attrs.frozen
class ApplyClaim:
    """Decides on the claim of an idempotency key."""

    claim: model.ClaimKey
    proposed_at_s: float


@attrs.frozen
class ApplyOutcome:
    """Stores the outcome of a claimed key."""

    record: model.RecordOutcome


@attrs.frozen
class ApplyRelease:
    """Removes a claim whose request certainly did not run."""

    release: model.ReleaseClaim


@attrs.frozen
class StoredVerdict:
    """Verdict on the change with a request ID.

    Attributes:
        request_id: The request ID.
        verdict: Its verdict.
        content: Hash of what the change puts and deletes.
    """

    request_id: str
    verdict: model.Verdict
    content: bytes = b""


@attrs.frozen
class ControlState:
    """Whole state of the control state machine, for snapshots.

    Attributes:
        configuration: Current configuration.
        history: Newest accepted changes, oldest first.
        verdicts: Newest verdicts, oldest first.
        keys: Idempotency keys, oldest claim first.
        claimed_at_s: Log time of the claim of each key.
        outcomes: Encoded record of each key; encoded when they change, as
            encoding all of them for a snapshot would take seconds.
        log_time_s: Greatest Unix time that a command carried.
    """

    configuration: model.Configuration
    history: tuple[ports.AcceptedChange, ...]
    verdicts: tuple[StoredVerdict, ...]
    keys: tuple[str, ...]
    claimed_at_s: tuple[float, ...]
    outcomes: tuple[bytes, ...]
    log_time_s: float


Command = ApplyChange | ApplyClaim | ApplyOutcome | ApplyRelease

# Types that the codec must know in addition to those of the model.
CODEC_TYPES: tuple[type, ...] = (
    ApplyChange,
    ApplyClaim,
    ApplyOutcome,
    ApplyRelease,
    ControlState,
)
