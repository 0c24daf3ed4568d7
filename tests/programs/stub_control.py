"""Control replica without a replicated log, for tests of entries."""

import attrs
import trio

from guavapulley import model


class StubControl:
    """`ports.PeerHandler` with a configuration and idempotency records."""

    def __init__(self, *objects):
        self.configuration = model.Configuration(1, objects)
        self.records = {}

    async def handle(self, request):
        match request:
            case model.WatchConfiguration():
                return await self._watch(request)
            case model.ClaimKey():
                return self._claim(request)
            case model.RecordOutcome():
                return self._record(request)
            case model.ReleaseClaim():
                return model.RecordReply(
                    self.records.pop(request.key, None) is not None
                )
            case model.GetOutcome():
                return model.ClaimReply(
                    model.ClaimStatus.EXISTS, self.records.get(request.key)
                )
            case model.LeaseShare():
                return model.LeaseShareReply((), 2.0)

    async def _watch(self, request):
        if self.configuration.revision <= request.after:
            await trio.sleep(request.wait_s)
        revision = self.configuration.revision
        newer = revision > request.after
        configuration = self.configuration if newer else None
        return model.WatchReply(configuration, revision, True)

    def _claim(self, claim):
        existing = self.records.get(claim.key)
        if existing is None:
            self.records[claim.key] = model.StoredOutcome(
                claim.key, claim.body_hash, claim.entry, claim.request_id, 1, 0
            )
            return model.ClaimReply(model.ClaimStatus.GRANTED)
        if existing.request_id == claim.request_id:
            return model.ClaimReply(model.ClaimStatus.GRANTED)
        return model.ClaimReply(model.ClaimStatus.EXISTS, existing)

    def _record(self, record):
        self.records[record.key] = attrs.evolve(
            self.records[record.key], kind=record.kind, answer=record.answer
        )
        return model.RecordReply(True)
