"""Explanations of steering decisions."""

import collections

import attrs


@attrs.frozen
class ScoredCandidate:
    """An upstream that could have been chosen; the lowest score wins.

    Attributes:
        upstream: Name of the upstream.
        score: Its score.
        owned: Whether a slot of the entry itself is free there.
    """

    upstream: str
    score: float
    owned: bool


@attrs.frozen
class Exclusion:
    """An upstream that could not be chosen.

    Attributes:
        upstream: Name of the upstream.
        reason: Name of the rule, with its finding after a colon.
    """

    upstream: str
    reason: str


@attrs.frozen
class Attempt:
    """One attempt.

    Attributes:
        upstream: Name of the upstream.
        kind: `first`, `retry` or `hedge`.
        started_s: Start on trio's clock.
        duration_s: Time until its outcome.
        outcome: `answered`, `cancelled` or the code of the error.
    """

    upstream: str
    kind: str
    started_s: float
    duration_s: float
    outcome: str


@attrs.define
class Decision:
    """What was decided for a request, and why.

    Attributes:
        request_id: ID of the request.
        service: Service asked for.
        intent: Intent that took the request; empty for the default.
        candidates: Candidates of the last choice.
        exclusions: Exclusions of the last choice.
        attempts: Attempts in the order of their ends.
        waited_s: Time in the queue.
        outcome: `answered` or the code of the error; empty while running.
    """

    request_id: str
    service: str
    intent: str = ""
    candidates: tuple[ScoredCandidate, ...] = ()
    exclusions: tuple[Exclusion, ...] = ()
    attempts: list[Attempt] = attrs.field(factory=list)
    waited_s: float = 0.0
    outcome: str = ""


class History:
    """The last decisions by request ID."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.decisions: collections.OrderedDict[str, Decision] = (
            collections.OrderedDict()
        )

    def add(self, decision: Decision) -> None:
        """Keeps a decision and forgets the oldest ones over the limit."""
        self.decisions[decision.request_id] = decision
        self.decisions.move_to_end(decision.request_id)
        while len(self.decisions) > self.limit:
            self.decisions.popitem(last=False)

    def get(self, request_id: str) -> Decision | None:
        """Returns a decision that is still kept."""
        return self.decisions.get(request_id)
