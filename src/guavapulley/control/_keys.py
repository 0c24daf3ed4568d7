"""Claims and outcomes of idempotency keys."""

import collections

import attrs

from guavapulley import model
from guavapulley import ports

KEY_RETENTION_S = model.KEY_RETENTION_S
# Greatest time by which the clock that creates a key may be ahead of log time.
MAX_KEY_CLOCK_SKEW_S = model.MAX_KEY_CLOCK_SKEW_S


class KeyTable:
    """Encoded records of idempotency keys in the order of their claims.

    A record is kept for `KEY_RETENTION_S` plus `MAX_KEY_CLOCK_SKEW_S` after its
    claim. A claim of a key that was created more than `KEY_RETENTION_S` ago is
    rejected, so a key whose record was dropped is never granted again. This
    requires that a key is created at most `MAX_KEY_CLOCK_SKEW_S` after its
    claim; a claim of a key from further in the future is rejected.

    Args:
        codec: Codec of the records.

    Attributes:
        records: Log time of the claim, in seconds, and encoded record of each
            key.
    """

    def __init__(self, codec: ports.Codec) -> None:
        self.codec = codec
        # Finding the first item of a dict becomes slow after many removals; in
        # an ordered dict it does not.
        self.records: collections.OrderedDict[str, tuple[float, bytes]] = (
            collections.OrderedDict()
        )

    def find(self, key: str) -> model.StoredOutcome | None:
        """Returns the record of a key, or None."""
        stored = self.records.get(key)
        if stored is None:
            return None
        outcome = self.codec.decode(stored[1])
        assert isinstance(outcome, model.StoredOutcome)
        return outcome

    def _store(self, outcome: model.StoredOutcome) -> None:
        encoded = self.codec.encode(outcome)
        self.records[outcome.key] = (outcome.claimed_at_s, encoded)

    def claim(
        self, index: int, claim: model.ClaimKey, log_time_s: float
    ) -> model.ClaimReply:
        """Grants or rejects a claim.

        Args:
            index: Log index of the command.
            claim: The claim.
            log_time_s: Log time in seconds; it never decreases.

        Returns:
            The status of the claim with the stored outcome, if any.
        """
        self._drop_expired(log_time_s)
        existing = self.find(claim.key)
        if existing is not None:
            return self._decide_repeated_claim(existing, claim)
        if claim.created_s < log_time_s - KEY_RETENTION_S:
            return model.ClaimReply(model.ClaimStatus.EXPIRED)
        if not claim.created_s <= log_time_s + MAX_KEY_CLOCK_SKEW_S:
            return model.ClaimReply(model.ClaimStatus.AGE_INVALID)
        outcome = model.StoredOutcome(
            claim.key,
            claim.body_hash,
            claim.entry,
            claim.request_id,
            index,
            log_time_s,
        )
        self._store(outcome)
        return model.ClaimReply(model.ClaimStatus.GRANTED, outcome)

    def _decide_repeated_claim(
        self, existing: model.StoredOutcome, claim: model.ClaimKey
    ) -> model.ClaimReply:
        if existing.body_hash != claim.body_hash:
            return model.ClaimReply(model.ClaimStatus.KEY_REUSED, existing)
        same_request = (existing.entry, existing.request_id) == (
            claim.entry,
            claim.request_id,
        )
        if same_request and existing.kind is model.OutcomeKind.CLAIMED:
            return model.ClaimReply(model.ClaimStatus.GRANTED, existing)
        return model.ClaimReply(model.ClaimStatus.EXISTS, existing)

    def record(self, record: model.RecordOutcome) -> model.RecordReply:
        """Stores the outcome of a claimed key.

        A completed outcome is not replaced, although the reply says recorded.

        Returns:
            Whether the key is claimed by the request and the outcome is final.
        """
        existing = self.find(record.key)
        if existing is None or existing.request_id != record.request_id:
            return model.RecordReply(False)
        if record.kind is model.OutcomeKind.CLAIMED:
            # Such a record would replace an unknown outcome and let its claim
            # be granted again.
            return model.RecordReply(False)
        if existing.kind is not model.OutcomeKind.COMPLETED:
            self._store(
                attrs.evolve(existing, kind=record.kind, answer=record.answer)
            )
        return model.RecordReply(True)

    def release(self, release: model.ReleaseClaim) -> model.RecordReply:
        """Removes the claim of a request that has no outcome."""
        existing = self.find(release.key)
        if existing is None or existing.request_id != release.request_id:
            return model.RecordReply(False)
        if existing.kind is not model.OutcomeKind.CLAIMED:
            return model.RecordReply(False)
        del self.records[release.key]
        return model.RecordReply(True)

    def _drop_expired(self, log_time_s: float) -> None:
        oldest_s = log_time_s - KEY_RETENTION_S - MAX_KEY_CLOCK_SKEW_S
        while self.records:
            key, (claimed_at_s, _) = next(iter(self.records.items()))
            if claimed_at_s >= oldest_s:
                return
            del self.records[key]
