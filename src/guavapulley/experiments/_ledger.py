"""Results of an experiment by request kind, failure domain and time."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import enum
from typing import TypeVar

import attrs

K = TypeVar("K", str, float)

WINDOW_S = 2.0


class Distance(enum.Enum):
    """Distance between an entry and an upstream that it sends a request to."""

    SAME_DOMAIN = "own domain"
    OTHER_DOMAIN = "other domain"
    OTHER_REGION = "other region"


@attrs.frozen
class Outcome:
    """Result of one request of a caller, retries included.

    Attributes:
        kind: Kind of the request.
        domain: Failure domain of the caller.
        started_at_s: Time of the first attempt on the clock of the run, in
            seconds.
        duration_s: Time until the last answer, in seconds.
        status: HTTP status of the last answer; 0 if the caller timed out or
            its entry was down.
        possible_value: Value of an answer within the target latency.
        earned_value: Value of the answer that the caller received.
    """

    kind: str
    domain: str
    started_at_s: float
    duration_s: float
    status: int
    possible_value: float
    earned_value: float


@attrs.frozen
class Refusal:
    """A response of an entry that it did not run a request.

    Attributes:
        duration_s: Time from the request to the response, in seconds.
        target_s: Target latency of the request, in seconds.
    """

    duration_s: float
    target_s: float


@attrs.define
class Ledger:
    """Records all outcomes of a run.

    Attributes:
        outcomes: Outcome of each request.
        refusals: Refusals by entries, also of requests that were retried.
        exchanges: Number of exchanges with upstreams by distance.
        violations: Number of requests that reached an upstream against its
            will, by kind; see `WithdrawalChecker`.
    """

    outcomes: list[Outcome] = attrs.field(factory=list)
    refusals: list[Refusal] = attrs.field(factory=list)
    exchanges: collections.Counter[Distance] = attrs.field(
        factory=collections.Counter
    )
    violations: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def credit(self) -> float:
        """Returns the earned value as a fraction of the possible value."""
        return _earned_fraction(self.outcomes)

    def credit_by_group(self) -> Iterator[tuple[str, float]]:
        """Yields the credit of each kind, each domain and the worst windows.

        The worst windows are the two with the lowest credit; their mean is
        yielded.
        """
        for kind, outcomes in _group_by(
            self.outcomes, lambda outcome: outcome.kind
        ):
            yield f"kind {kind}", _earned_fraction(outcomes)
        for domain, outcomes in _group_by(
            self.outcomes, lambda outcome: outcome.domain
        ):
            yield f"domain {domain}", _earned_fraction(outcomes)
        worst = sorted(credit for _, credit in self.credit_by_window())[:2]
        yield "worst windows", sum(worst) / max(1, len(worst))

    def credit_by_window(self) -> list[tuple[float, float]]:
        """Returns the start in seconds and the credit of each time window."""
        return [
            (start_s, _earned_fraction(outcomes))
            for start_s, outcomes in _group_by(self.outcomes, _window_start_s)
        ]

    def exchange_fraction(self, distance: Distance) -> float:
        """Returns the fraction of the exchanges that had a distance."""
        return self.exchanges[distance] / max(1, self.exchanges.total())

    def outcome_fraction(self, predicate: Callable[[Outcome], bool]) -> float:
        """Returns the fraction of the requests whose outcome matches."""
        count = sum(predicate(outcome) for outcome in self.outcomes)
        return count / max(1, len(self.outcomes))

    def p99_refusal_time_fraction(self) -> float:
        """Returns the p99 of the refusal times as fractions of the targets."""
        fractions = sorted(
            refusal.duration_s / refusal.target_s for refusal in self.refusals
        )
        return _percentile(fractions, 0.99)


def _earned_fraction(outcomes: Sequence[Outcome]) -> float:
    possible_value = sum(outcome.possible_value for outcome in outcomes)
    return (
        sum(outcome.earned_value for outcome in outcomes) / possible_value
        if possible_value
        else 1.0
    )


def _group_by(
    outcomes: Sequence[Outcome], key: Callable[[Outcome], K]
) -> list[tuple[K, list[Outcome]]]:
    """Returns the outcomes grouped by a key, sorted by the key."""
    groups: dict[K, list[Outcome]] = {}
    for outcome in outcomes:
        groups.setdefault(key(outcome), []).append(outcome)
    return sorted(groups.items())


def _window_start_s(outcome: Outcome) -> float:
    return outcome.started_at_s // WINDOW_S * WINDOW_S


def _percentile(ordered: Sequence[float], fraction: float) -> float:
    """Returns a percentile of sorted numbers; 0 if there are none.

    The percentile is given as a fraction.

    >>> _percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    3.0
    """
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
