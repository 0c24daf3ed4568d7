"""Commands of the replicated log and the stored state of the state machine."""

import attrs

from guavapulley import model
from guavapulley import ports


@attrs.frozen
class ApplyChange:
    """Validates a configuration change and applies it if it is valid.

    Attributes:
        change: The change.
        proposed_at_s: Unix time at which the leader proposed it, in seconds.
    """

    change: model.Change
    proposed_at_s: float


@attrs.frozen
class ApplyClaim:
    """Grants or rejects a claim of an idempotency key.

    Attributes:
        claim: The claim.
        proposed_at_s: Unix time at which the leader proposed it, in seconds.
    """

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
    """Verdict on a change, kept for resends of the change.

    Attributes:
        request_id: Request ID of the change.
        verdict: Verdict on the change.
        content: Hash of the objects that the change puts and deletes.
    """

    request_id: str
    verdict: model.Verdict
    content: bytes = b""


@attrs.frozen
class ControlState:
    """Snapshot of the control state machine.

    Attributes:
        configuration: Current configuration.
        history: Newest accepted changes, oldest first.
        verdicts: Newest verdicts, oldest first.
        keys: Idempotency keys, oldest claim first.
        claimed_at_s: Log time of the claim of each key, in seconds.
        outcomes: Encoded record of each key. Records are encoded when they
            change, because encoding all of them for a snapshot would take
            seconds.
        log_time_s: Greatest Unix time of any command so far, in seconds.
    """

    configuration: model.Configuration
    history: tuple[ports.AcceptedChange, ...]
    verdicts: tuple[StoredVerdict, ...]
    keys: tuple[str, ...]
    claimed_at_s: tuple[float, ...]
    outcomes: tuple[bytes, ...]
    log_time_s: float


Command = ApplyChange | ApplyClaim | ApplyOutcome | ApplyRelease

# Types that the codec must support in addition to those of the model.
CODEC_TYPES: tuple[type, ...] = (
    ApplyChange,
    ApplyClaim,
    ApplyOutcome,
    ApplyRelease,
    ControlState,
)
