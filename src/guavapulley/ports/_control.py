"""The port by which entries call the control role."""

from typing import Protocol

from guavapulley import model


class ControlPlane(Protocol):
    """Calls the control replicas and finds their leader.

    Each method raises `PeerError` when no replica answered in time; the call
    may have taken effect nevertheless. A call can be repeated with the same
    IDs.
    """

    async def watch(
        self, request: model.WatchConfiguration
    ) -> model.WatchReply:
        """Waits for a newer configuration and returns it.

        Raises:
            PeerError: No replica answered, or none could confirm its answer by
                a majority.
        """

    async def claim_key(
        self, request: model.ClaimKey, timeout_s: float
    ) -> model.ClaimReply:
        """Claims an idempotency key; the claim is replicated to a majority."""

    async def record_outcome(
        self, request: model.RecordOutcome, timeout_s: float
    ) -> model.RecordReply:
        """Records the outcome of a claimed key, replicated to a majority."""

    async def release_claim(
        self, request: model.ReleaseClaim, timeout_s: float
    ) -> model.RecordReply:
        """Releases a claim because the request certainly did not run."""

    async def outcome(
        self, request: model.GetOutcome, timeout_s: float
    ) -> model.StoredOutcome | None:
        """Returns the outcome of a key by a majority read, if there is one."""

    async def lease_shares(
        self, request: model.LeaseShare, timeout_s: float
    ) -> model.LeaseShareReply:
        """Requests shares of link capacity from the leader."""
