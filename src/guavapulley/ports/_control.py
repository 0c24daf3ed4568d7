"""The control role, as entries see it."""

from typing import Protocol

from guavapulley import model


class ControlPlane(Protocol):
    """Calls the control replicas and finds their leader.

    Each method raises `PeerError` when no replica gave an answer in time; the
    call may then have taken effect. Calls can be repeated with equal IDs.
    """

    async def watch(
        self, request: model.WatchConfiguration
    ) -> model.WatchReply:
        """Waits for a newer configuration.

        Raises:
            PeerError: No replica answered, or none could confirm.
        """

    async def claim(
        self, request: model.ClaimKey, timeout_s: float
    ) -> model.ClaimReply:
        """Claims an idempotency key on a majority."""

    async def record(
        self, request: model.RecordOutcome, timeout_s: float
    ) -> model.RecordReply:
        """Records the outcome of a claimed key on a majority."""

    async def release(
        self, request: model.ReleaseClaim, timeout_s: float
    ) -> model.RecordReply:
        """Gives a claim back because the request certainly did not run."""

    async def outcome(
        self, request: model.GetOutcome, timeout_s: float
    ) -> model.StoredOutcome | None:
        """Returns the outcome of a key by a majority read."""

    async def lease(
        self, request: model.LeaseShare, timeout_s: float
    ) -> model.LeaseShareReply:
        """Asks the leader for shares of links."""
