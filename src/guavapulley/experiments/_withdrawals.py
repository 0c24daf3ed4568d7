"""Checks that entries heed upstreams that leave or refuse requests."""

import collections

import attrs
import trio

from guavapulley import model

# An entry sends an upstream no request that its caller sent later than this
# after the entry had passed on that the upstream leaves.
DRAIN_S = 2.5
# Requests that are under way when an upstream refuses may still reach it.
UNDER_WAY_S = 0.5
MAX_REFUSED_ARRIVALS = 2

AFTER_LEAVING = "after leaving"
WHILE_REFUSING = "while refusing"


@attrs.define
class _Refusal:
    """A time in which an upstream wants no requests from an entry.

    Attributes:
        answered_s: When the upstream said so, on trio's clock.
        ends_s: Its end.
        arrivals: Requests that reached the upstream nevertheless.
    """

    answered_s: float
    ends_s: float
    arrivals: int = 0


class WithdrawalChecker:
    """Counts the requests of one entry that reach an upstream against its will.

    Args:
        violations: Receives the number of violations by kind.
    """

    def __init__(self, violations: collections.Counter[str]) -> None:
        self.violations = violations
        self.heard_leaving_s: dict[str, float] = {}
        self.refusals: dict[str, _Refusal] = {}

    def record_arrival(
        self, upstream: model.UpstreamRecord, sent_s: float
    ) -> None:
        """Checks a request that reaches an upstream now.

        Args:
            upstream: The upstream.
            sent_s: When the caller sent the request, on trio's clock.
        """
        name, now_s = upstream.upstream, trio.current_time()
        if sent_s > self.heard_leaving_s.get(name, now_s) + DRAIN_S:
            self.violations[AFTER_LEAVING] += 1
        refusal = self.refusals.get(name)
        if (
            refusal is not None
            and refusal.answered_s + UNDER_WAY_S < now_s < refusal.ends_s
        ):
            refusal.arrivals += 1
            if refusal.arrivals > MAX_REFUSED_ARRIVALS:
                self.violations[WHILE_REFUSING] += 1

    def record_leaving(self, upstream: model.UpstreamRecord) -> None:
        """Records an answer that says that the upstream leaves."""
        self.heard_leaving_s.setdefault(upstream.upstream, trio.current_time())

    def record_refusal(
        self, upstream: model.UpstreamRecord, refusal_s: float
    ) -> None:
        """Records that an upstream wants no requests for some seconds."""
        now_s = trio.current_time()
        current = self.refusals.get(upstream.upstream)
        if current is None or current.ends_s <= now_s:
            self.refusals[upstream.upstream] = _Refusal(
                now_s, now_s + refusal_s
            )
