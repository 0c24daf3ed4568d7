"""Requests that must run at most once.

A key is claimed on a majority of the control replicas before the request is
sent, so two entries cannot both send it. A claim is given back only when no
byte of the request can have reached an upstream and none will.
"""

from collections.abc import Callable
import functools

import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.serving import _attempts
from guavapulley.serving import _errors
from guavapulley.serving import _keys
from guavapulley.serving import _protocols

CLAIM_TIMEOUT_S = 5.0
# A reply waits for its record no longer than this; a resend before the record
# then learns that the outcome is unknown.
RECORD_BEFORE_REPLY_S = 0.5
RELEASE_TIMEOUT_S = 1.0
QUERY_TIMEOUT_S = 5.0
MAX_STORED_ANSWER_BYTES = 65_536
LATE_RECORDS = 1_024
LATE_RECORD_TIMEOUT_S = 5.0
LATE_RECORD_ATTEMPTS = 10
LATE_RECORD_PAUSE_S = 1.0
FINISH_TIMEOUT_S = 5.0


class OnceFlow:
    """Runs non-idempotent requests.

    Args:
        entry: Name of this entry.
        control: The control replicas.
        steerer: Chooses the upstream.
        dispatcher: Sends the request.
        unix_time: Unix clock, for the age of keys.
        new_claim_id: Returns an ID that was never used before.
        events: Receives outcomes that could not be recorded.
    """

    def __init__(
        self,
        entry: str,
        control: ports.ControlPlane,
        steerer: _protocols.Steerer,
        dispatcher: _attempts.Dispatcher,
        unix_time: _protocols.UnixClock,
        new_claim_id: Callable[[], str],
        events: ports.EventLog,
    ) -> None:
        self.entry = entry
        self.control = control
        self.steerer = steerer
        self.dispatcher = dispatcher
        self.unix_time = unix_time
        self.new_claim_id = new_claim_id
        self.events = events
        self.late, self.late_records = trio.open_memory_channel[
            model.RecordOutcome
        ](LATE_RECORDS)
        self.all_recorded = trio.Event()

    async def run(
        self, request: model.SteeredRequest, service: model.Service
    ) -> model.Answer:
        """Returns the answer to a request, or the stored one of its key.

        Raises:
            ServingError: There is no answer.
        """
        attempts = self.dispatcher.attempts(
            request, service, new_connection=True
        )
        if request.idempotency_key is None:
            return await self._dispatch(service, attempts)
        created_s = _keys.check_key(request, self.unix_time())
        # Two requests with equal IDs must not share a claim, so the claim has
        # an ID of its own; the control replicas grant a repeated one again.
        claim = model.ClaimKey(
            _keys.qualified_key(service.name, request.idempotency_key),
            _keys.request_hash(request),
            self.entry,
            f"{request.request_id}#{self.new_claim_id()}",
            created_s,
        )
        stored = await self._claim(claim, attempts.ends_at_s)
        if stored is not None:
            return stored
        return await self._dispatch_claimed(service, attempts, claim)

    async def outcome(self, service: str, key: str) -> model.StoredOutcome:
        """Returns the outcome of a key by a majority read.

        Raises:
            PeerError: No majority answered.
            ServingError: The key has not been claimed so far.
        """
        query = model.GetOutcome(_keys.qualified_key(service, key))
        found = await self.control.outcome(query, QUERY_TIMEOUT_S)
        if found is None:
            # A request with the key may still be on its way.
            raise _errors.ServingError(
                _errors.OUTCOME_NOT_FOUND,
                "no request with this key has been claimed so far",
                not_run=False,
            )
        return found

    async def record_late(self) -> None:
        """Records outcomes that were not recorded before their replies."""
        async for record in self.late_records:
            for _ in range(LATE_RECORD_ATTEMPTS):
                if await self._try_record(record, LATE_RECORD_TIMEOUT_S):
                    break
                await trio.sleep(LATE_RECORD_PAUSE_S)
            else:
                self._lost(record)
        self.all_recorded.set()

    async def finish(self) -> None:
        """Waits a limited time for late records; called when all is answered.

        `record_late` must be running.
        """
        self.late.close()
        with trio.move_on_after(FINISH_TIMEOUT_S):
            await self.all_recorded.wait()

    async def _claim(
        self, claim: model.ClaimKey, ends_at_s: float
    ) -> model.Answer | None:
        left_s = max(0.0, ends_at_s - trio.current_time())
        timeout_s = min(CLAIM_TIMEOUT_S, left_s)
        try:
            with trio.fail_after(timeout_s):
                reply = await self.control.claim(claim, timeout_s)
        except (errors.GuavapulleyError, trio.TooSlowError) as error:
            # The claim may take effect later; then the key stays claimed,
            # although the request never runs.
            await self._release(claim)
            raise _errors.ServingError(
                _errors.CLAIM_FAILED,
                f"the key could not be claimed: {error}",
                not_run=True,
            ) from error
        except trio.Cancelled:
            await self._release(claim)
            raise
        return _stored_answer(reply)

    async def _dispatch_claimed(
        self,
        service: model.Service,
        attempts: _attempts.Attempts,
        claim: model.ClaimKey,
    ) -> model.Answer:
        self._note("once:claimed", claim, attempts)
        try:
            answer = await self._dispatch(service, attempts)
        except BaseException as error:
            if attempts.not_run:
                self._note("once:not_run", claim, attempts)
                await self._release(claim)
                raise
            self._note("once:unknown", claim, attempts)
            await self._record(claim, model.OutcomeKind.UNKNOWN)
            if not isinstance(error, errors.GuavapulleyError):
                raise
            raise _errors.ServingError(
                _errors.OUTCOME_UNKNOWN,
                f"the request may have run: {error.message}",
                not_run=False,
                reason=error.code,
            ) from error
        self._note("once:completed", claim, attempts)
        await self._record(claim, model.OutcomeKind.COMPLETED, answer)
        return answer

    async def _dispatch(
        self,
        service: model.Service,
        attempts: _attempts.Attempts,
    ) -> model.Answer:
        attempt = functools.partial(_single_attempt, attempts)
        with _attempts.within_deadline(attempts):
            return await self.steerer.run(attempts.steered(), service, attempt)

    async def _record(
        self,
        claim: model.ClaimKey,
        kind: model.OutcomeKind,
        answer: model.Answer | None = None,
    ) -> None:
        if answer is not None and len(answer.body) > MAX_STORED_ANSWER_BYTES:
            answer = None
        record = model.RecordOutcome(claim.key, claim.request_id, kind, answer)
        with trio.CancelScope(shield=True):
            if await self._try_record(record, RECORD_BEFORE_REPLY_S):
                return
        try:
            self.late.send_nowait(record)
        except trio.WouldBlock:
            self._lost(record)

    async def _try_record(
        self, record: model.RecordOutcome, timeout_s: float
    ) -> bool:
        with trio.move_on_after(timeout_s):
            try:
                await self.control.record(record, timeout_s)
            except errors.GuavapulleyError:
                return False
            return True
        return False

    async def _release(self, claim: model.ClaimKey) -> None:
        request = model.ReleaseClaim(claim.key, claim.request_id)
        with trio.move_on_after(RELEASE_TIMEOUT_S) as scope:
            scope.shield = True
            try:
                await self.control.release(request, RELEASE_TIMEOUT_S)
            except errors.GuavapulleyError as error:
                self.events.write(
                    "once:release_failed",
                    key=claim.key,
                    request_id=claim.request_id,
                    code=error.code,
                )

    def _note(
        self, event: str, claim: model.ClaimKey, attempts: _attempts.Attempts
    ) -> None:
        self.events.write(
            event,
            key=claim.key,
            request_id=attempts.request.request_id,
            claim=claim.request_id,
            upstream=attempts.upstream,
        )

    def _lost(self, record: model.RecordOutcome) -> None:
        self.events.write(
            "once:outcome_not_recorded",
            key=record.key,
            request_id=record.request_id,
            kind=record.kind.value,
        )


async def _single_attempt(
    attempts: _attempts.Attempts, record: model.UpstreamRecord
) -> model.Answer:
    """Makes an attempt unless another one may have run or is being made.

    Steering tries again only after a certain "not run". This is checked here
    as well, because a second run cannot be undone.

    Raises:
        UpstreamError: The attempt failed or must not be made.
    """
    if not attempts.not_run or attempts.busy:
        raise ports.UpstreamError(
            ports.UPSTREAM_BROKEN,
            "an earlier attempt may have run",
            not_run=False,
        )
    attempts.busy = True
    try:
        return await attempts.whole(record)
    finally:
        attempts.busy = False


def _stored_answer(reply: model.ClaimReply) -> model.Answer | None:
    """Returns the stored answer of a key, or None if it is claimed now.

    Raises:
        ServingError: The key cannot be used or its answer is not known.
    """
    outcome = reply.outcome
    match reply.status:
        case model.ClaimStatus.GRANTED:
            return None
        case model.ClaimStatus.EXPIRED:
            raise _keys.expired()
        case model.ClaimStatus.AGE_INVALID:
            raise _errors.ServingError(
                _errors.KEY_AGE_INVALID,
                "the key is created in the future of the control replicas",
                not_run=True,
            )
        case model.ClaimStatus.KEY_REUSED:
            raise _errors.ServingError(
                _errors.KEY_REUSED,
                "the key belongs to a different request",
                not_run=True,
                earlier_may_have_run=True,
            )
    if outcome is None or outcome.kind is not model.OutcomeKind.COMPLETED:
        raise _errors.ServingError(
            _errors.OUTCOME_UNKNOWN,
            "an earlier request with this key may have run or be running",
            not_run=False,
        )
    if outcome.answer is None:
        raise _errors.ServingError(
            _errors.OUTCOME_NOT_KEPT,
            "an earlier request with this key has run; its answer was too"
            " large to be stored",
            not_run=False,
        )
    return outcome.answer
