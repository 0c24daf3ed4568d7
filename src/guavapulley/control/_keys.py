"""Durable records of idempotency keys."""

import collections

import attrs

from guavapulley import model
from guavapulley import ports

KEY_RETENTION_S = model.KEY_RETENTION_S
# A key may be created by a clock that is this far ahead.
MAX_KEY_AHEAD_S = model.MAX_KEY_AHEAD_S


class KeyTable:
    """Claims and outcomes in the order of their claims, encoded.

    A record is kept for the retention and `MAX_KEY_AHEAD_S` after its claim. A
    claim of a key that is older than the retention is refused, so a key that
    was dropped is never granted again. That holds only for a key that was not
    created after that time; a key further ahead is refused.
    """

    def __init__(self, codec: ports.Codec) -> None:
        self.codec = codec
        # Unlike a dict, it finds its first item at once after many removals.
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
        """Decides on a claim.

        Args:
            index: Log index of the command.
            claim: The claim.
            log_time_s: Log time; it never decreases.
        """
        self._drop_old(log_time_s)
        known = self.find(claim.key)
        if known is not None:
            return self._repeated(known, claim)
        if claim.created_s < log_time_s - KEY_RETENTION_S:
            return model.ClaimReply(model.ClaimStatus.EXPIRED)
        if not claim.created_s <= log_time_s + MAX_KEY_AHEAD_S:
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

    def _repeated(
        self, known: model.StoredOutcome, claim: model.ClaimKey
    ) -> model.ClaimReply:
        if known.body_hash != claim.body_hash:
            return model.ClaimReply(model.ClaimStatus.KEY_REUSED, known)
        same = (known.entry, known.request_id) == (
            claim.entry,
            claim.request_id,
        )
        if same and known.kind is model.OutcomeKind.CLAIMED:
            return model.ClaimReply(model.ClaimStatus.GRANTED, known)
        return model.ClaimReply(model.ClaimStatus.EXISTS, known)

    def record(self, record: model.RecordOutcome) -> model.RecordReply:
        """Stores an outcome; a completed one is never replaced."""
        known = self.find(record.key)
        if known is None or known.request_id != record.request_id:
            return model.RecordReply(False)
        if record.kind is model.OutcomeKind.CLAIMED:
            # It would let a claim without known outcome be granted again.
            return model.RecordReply(False)
        if known.kind is not model.OutcomeKind.COMPLETED:
            self._store(
                attrs.evolve(known, kind=record.kind, answer=record.answer)
            )
        return model.RecordReply(True)

    def release(self, release: model.ReleaseClaim) -> model.RecordReply:
        """Removes a claim without outcome."""
        known = self.find(release.key)
        if known is None or known.request_id != release.request_id:
            return model.RecordReply(False)
        if known.kind is not model.OutcomeKind.CLAIMED:
            return model.RecordReply(False)
        del self.records[release.key]
        return model.RecordReply(True)

    def _drop_old(self, log_time_s: float) -> None:
        oldest_s = log_time_s - KEY_RETENTION_S - MAX_KEY_AHEAD_S
        while self.records:
            key, (claimed_at_s, _) = next(iter(self.records.items()))
            if claimed_at_s >= oldest_s:
                return
            del self.records[key]
