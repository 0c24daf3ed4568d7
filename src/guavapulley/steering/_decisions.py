"""Explanations of steering decisions."""

import collections

import attrs


@attrs.frozen
class ScoredCandidate:
    """An available upstream with its score; the lowest score is chosen.

    Attributes:
        upstream: Name of the upstream.
        score: Score without unit.
        owned: Whether a slot that the entry owns is free at the upstream.
    """

    upstream: str
    score: float
    owned: bool


@attrs.frozen
class Exclusion:
    """An upstream that was excluded from the choice.

    Attributes:
        upstream: Name of the upstream.
        reason: Reason of the exclusion, with an optional detail after a colon.
    """

    upstream: str
    reason: str


@attrs.frozen
class Attempt:
    """An attempt to send a request to an upstream.

    Attributes:
        upstream: Name of the upstream.
        kind: `first`, `retry` or `hedge`.
        started_s: Start time on trio's clock.
        duration_s: Time from the start to the outcome, in seconds.
        outcome: `answered`, `cancelled` or the error code.
    """

    upstream: str
    kind: str
    started_s: float
    duration_s: float
    outcome: str


@attrs.define
class Decision:
    """Explanation of how a request was steered.

    Attributes:
        request_id: ID of the request.
        service: Name of the requested service.
        intent: Intent that applied to the request; empty for the default.
        candidates: Candidates of the last choice.
        exclusions: Exclusions of the last choice.
        attempts: Finished attempts in the order in which they ended.
        waited_s: Time in the queue before the first attempt, in seconds.
        outcome: `answered` or the error code; empty while running.
    """

    request_id: str
    service: str
    intent: str = ""
    candidates: tuple[ScoredCandidate, ...] = ()
    exclusions: tuple[Exclusion, ...] = ()
    attempts: list[Attempt] = attrs.field(factory=list)
    waited_s: float = 0.0
    outcome: str = ""


class DecisionHistory:
    """The most recent decisions by request ID."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.decisions: collections.OrderedDict[str, Decision] = (
            collections.OrderedDict()
        )

    def add(self, decision: Decision) -> None:
        """Adds a decision and evicts the oldest ones above the limit."""
        self.decisions[decision.request_id] = decision
        self.decisions.move_to_end(decision.request_id)
        while len(self.decisions) > self.limit:
            self.decisions.popitem(last=False)

    def get(self, request_id: str) -> Decision | None:
        """Returns the decision for a request, or None if it was evicted."""
        return self.decisions.get(request_id)
