"""At-most-once execution of requests with idempotency keys.

A key is claimed on a majority of the control replicas before the request is
sent, so two entries cannot both send it. A claim is released only if no byte
of the request can have reached an upstream and none will.
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
# Longest time for which a reply is delayed until its outcome is recorded. A
# resend by the caller that precedes a late record gets `OUTCOME_UNKNOWN`.
RECORD_BEFORE_REPLY_TIMEOUT_S = 0.5
RELEASE_TIMEOUT_S = 1.0
OUTCOME_READ_TIMEOUT_S = 5.0
MAX_STORED_ANSWER_BYTES = 65_536
MAX_LATE_RECORDS = 1_024
LATE_RECORD_TIMEOUT_S = 5.0
LATE_RECORD_ATTEMPTS = 10
LATE_RECORD_RETRY_PAUSE_S = 1.0
FLUSH_TIMEOUT_S = 5.0


class OnceExecutor:
    """Runs non-idempotent requests at most once.

    Args:
        entry: Name of this entry.
        control: The control replicas.
        steerer: Chooses the upstream.
        dispatcher: Sends the request.
        unix_time: Returns the Unix time in seconds, for the age of keys.
        new_claim_id: Returns an ID that was never used before.
        events: Receives claims, outcomes, and failures to record or release.

    Attributes:
        late_sender: Queues outcomes whose records failed or took too long.
        late_receiver: Provides the queued outcomes in order.
        all_recorded: Set when the queue is closed and empty.
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
        self.late_sender, self.late_receiver = trio.open_memory_channel[
            model.RecordOutcome
        ](MAX_LATE_RECORDS)
        self.all_recorded = trio.Event()

    async def run(
        self, request: model.SteeredRequest, service: model.Service
    ) -> model.Answer:
        """Runs a request, or returns the stored answer of its key.

        Raises:
            ServingError: The request was not answered; `not_run` tells whether
                it can have run.
        """
        attempts = self.dispatcher.new_attempts(
            request, service, new_connection=True
        )
        if request.idempotency_key is None:
            return await self._dispatch(service, attempts)
        created_s = _keys.validate_key(request, self.unix_time())
        # The claim has an ID of its own, because two requests with equal IDs
        # must not share a claim. The control replicas grant a claim again if
        # it is repeated with the same ID.
        claim = model.ClaimKey(
            _keys.qualified_key(service.name, request.idempotency_key),
            _keys.request_hash(request),
            self.entry,
            f"{request.request_id}#{self.new_claim_id()}",
            created_s,
        )
        stored = await self._claim(claim, attempts.deadline_at_s)
        if stored is not None:
            return stored
        return await self._dispatch_claimed(service, attempts, claim)

    async def outcome(self, service: str, key: str) -> model.StoredOutcome:
        """Returns the outcome of a key by a majority read.

        Raises:
            PeerError: No majority of the control replicas answered.
            ServingError: The key has not been claimed.
        """
        read = model.GetOutcome(_keys.qualified_key(service, key))
        stored = await self.control.outcome(read, OUTCOME_READ_TIMEOUT_S)
        if stored is None:
            # A request with the key may still be in transit.
            raise _errors.ServingError(
                _errors.OUTCOME_NOT_FOUND,
                "no request with this key has been claimed so far",
                not_run=False,
            )
        return stored

    async def record_late_outcomes(self) -> None:
        """Records queued outcomes until the queue is closed and empty.

        The queue holds outcomes that were not recorded before their replies.
        """
        async for record in self.late_receiver:
            for _ in range(LATE_RECORD_ATTEMPTS):
                if await self._try_record(record, LATE_RECORD_TIMEOUT_S):
                    break
                await trio.sleep(LATE_RECORD_RETRY_PAUSE_S)
            else:
                self._log_unrecorded_outcome(record)
        self.all_recorded.set()

    async def flush_late_outcomes(self) -> None:
        """Closes the queue of late outcomes and waits until they are recorded.

        It waits `FLUSH_TIMEOUT_S` at most. `record_late_outcomes` must be
        running, and all requests must have been answered.
        """
        self.late_sender.close()
        with trio.move_on_after(FLUSH_TIMEOUT_S):
            await self.all_recorded.wait()

    async def _claim(
        self, claim: model.ClaimKey, deadline_at_s: float
    ) -> model.Answer | None:
        remaining_s = max(0.0, deadline_at_s - trio.current_time())
        timeout_s = min(CLAIM_TIMEOUT_S, remaining_s)
        try:
            with trio.fail_after(timeout_s):
                reply = await self.control.claim_key(claim, timeout_s)
        except (errors.GuavapulleyError, trio.TooSlowError) as error:
            # The claim may still take effect after its release. The key then
            # stays claimed, although the request never runs.
            await self._release(claim)
            raise _errors.ServingError(
                _errors.CLAIM_FAILED,
                f"the idempotency key could not be claimed: {error}",
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
        self._log_event("once:claimed", claim, attempts)
        try:
            answer = await self._dispatch(service, attempts)
        except BaseException as error:
            if attempts.not_run:
                self._log_event("once:not_run", claim, attempts)
                await self._release(claim)
                raise
            self._log_event("once:unknown", claim, attempts)
            await self._record(claim, model.OutcomeKind.UNKNOWN)
            if not isinstance(error, errors.GuavapulleyError):
                raise
            raise _errors.ServingError(
                _errors.OUTCOME_UNKNOWN,
                f"the request may have run: {error.message}",
                not_run=False,
                reason=error.code,
            ) from error
        self._log_event("once:completed", claim, attempts)
        await self._record(claim, model.OutcomeKind.COMPLETED, answer)
        return answer

    async def _dispatch(
        self,
        service: model.Service,
        attempts: _attempts.Attempts,
    ) -> model.Answer:
        attempt = functools.partial(_single_attempt, attempts)
        with _attempts.enforce_deadline(attempts):
            return await self.steerer.run(
                attempts.request_for_steering(), service, attempt
            )

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
            if await self._try_record(record, RECORD_BEFORE_REPLY_TIMEOUT_S):
                return
        try:
            self.late_sender.send_nowait(record)
        except trio.WouldBlock:
            self._log_unrecorded_outcome(record)

    async def _try_record(
        self, record: model.RecordOutcome, timeout_s: float
    ) -> bool:
        with trio.move_on_after(timeout_s):
            try:
                await self.control.record_outcome(record, timeout_s)
            except errors.GuavapulleyError:
                return False
            return True
        return False

    async def _release(self, claim: model.ClaimKey) -> None:
        request = model.ReleaseClaim(claim.key, claim.request_id)
        with trio.move_on_after(RELEASE_TIMEOUT_S) as scope:
            scope.shield = True
            try:
                await self.control.release_claim(request, RELEASE_TIMEOUT_S)
            except errors.GuavapulleyError as error:
                self.events.write(
                    "once:release_failed",
                    key=claim.key,
                    request_id=claim.request_id,
                    code=error.code,
                )

    def _log_event(
        self, event: str, claim: model.ClaimKey, attempts: _attempts.Attempts
    ) -> None:
        self.events.write(
            event,
            key=claim.key,
            request_id=attempts.request.request_id,
            claim=claim.request_id,
            upstream=attempts.upstream,
        )

    def _log_unrecorded_outcome(self, record: model.RecordOutcome) -> None:
        self.events.write(
            "once:outcome_not_recorded",
            key=record.key,
            request_id=record.request_id,
            kind=record.kind.value,
        )


async def _single_attempt(
    attempts: _attempts.Attempts, record: model.UpstreamRecord
) -> model.Answer:
    """Sends the request unless another attempt may have run or is running.

    Steering retries only after an attempt that certainly did not run. This is
    checked here as well, because a second execution cannot be undone.

    Raises:
        UpstreamError: The attempt failed or is not allowed.
        SteeringError: The share of the link to the upstream is exhausted.
    """
    if not attempts.not_run or attempts.in_progress:
        raise ports.UpstreamError(
            ports.UPSTREAM_BROKEN,
            "an earlier attempt may have run or be running",
            not_run=False,
        )
    attempts.in_progress = True
    try:
        return await attempts.fetch_answer(record)
    finally:
        attempts.in_progress = False


def _stored_answer(reply: model.ClaimReply) -> model.Answer | None:
    """Returns the stored answer of a key, or None if the claim was granted.

    Raises:
        ServingError: The key cannot be used, or its answer is unknown or was
            not stored.
    """
    outcome = reply.outcome
    match reply.status:
        case model.ClaimStatus.GRANTED:
            return None
        case model.ClaimStatus.EXPIRED:
            raise _keys.key_expired_error()
        case model.ClaimStatus.AGE_INVALID:
            raise _errors.ServingError(
                _errors.KEY_AGE_INVALID,
                "the key was created in the future by the clock of the control"
                " replicas",
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
