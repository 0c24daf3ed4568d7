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
    """Verdict on the change with a request ID."""

    request_id: str
    verdict: model.Verdict


@attrs.frozen
class ControlState:
    """Whole state of the control state machine, for snapshots.

    Attributes:
        configuration: Current configuration.
        history: Newest accepted changes, oldest first.
        verdicts: Newest verdicts, oldest first.
        outcomes: Idempotency records, oldest first.
        log_time_s: Greatest Unix time that a command carried.
    """

    configuration: model.Configuration
    history: tuple[ports.AcceptedChange, ...]
    verdicts: tuple[StoredVerdict, ...]
    outcomes: tuple[model.StoredOutcome, ...]
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
