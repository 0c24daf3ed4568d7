"""Rate limits shared by all entries, enforced without coordination."""

from guavapulley import model
from guavapulley.routing import _hashing
from guavapulley.routing import _windows

# Fraction of a shared limit that the known entries use. The rest is reserved
# for entries that this one does not know of yet.
USED_FRACTION = 0.7
COLD_WINDOW_S = 1.0
# Widens the window, because a request sent late in one second may arrive in the
# next.
ARRIVAL_JITTER_S = 0.15


class RetryBudget:
    """Limits the retries of one service.

    A retry is any send of a request after its first. In any window all entries
    together may send `ratio` times the requests of the service plus `slack`
    retries. Each entry applies the ratio to its own requests; the slack is
    divided evenly among the entries.

    Args:
        ratio: Retries allowed per request.
        slack: Retries allowed to all entries together in addition to the ratio.
        window_s: Length of the window in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.requests = _windows.SlidingWindowCounter(window_s)
        self.retries = _windows.SlidingWindowCounter(window_s)

    def record_request(self) -> None:
        """Counts a request of a caller."""
        self.requests.add()

    def try_acquire(self, entries: int) -> bool:
        """Spends one retry from the budget; returns whether one was left.

        Args:
            entries: Number of entries that share the slack.
        """
        if self.remaining(entries) < 1:
            return False
        self.retries.add()
        return True

    def remaining(self, entries: int) -> float:
        """Returns the number of retries that are allowed now.

        Args:
            entries: Number of entries that share the slack.
        """
        allowed = self.ratio * self.requests.value()
        allowed += self.slack / max(1, entries)
        return allowed * USED_FRACTION - self.retries.value()


class ColdBudget:
    """Limits the requests to one cold upstream.

    The upstream tolerates a number of requests per second from all entries
    together, which the entries divide evenly. When there are more entries than
    requests, rendezvous hashing of the entry and upstream names decides which
    entries may send at all.

    Args:
        upstream: Name of the upstream.
        rate_per_s: Requests per second that all entries may send together.
    """

    def __init__(self, upstream: str, rate_per_s: float) -> None:
        self.upstream = upstream
        self.rate_per_s = rate_per_s
        self.sent = _windows.SlidingWindowCounter(
            COLD_WINDOW_S + ARRIVAL_JITTER_S
        )
        # The allowance, and the entries for which it was computed.
        self.allowance = 0
        self.allowance_entries: tuple[str, ...] | None = None

    def can_send(self, entry: str, entries: tuple[str, ...]) -> bool:
        """Returns whether this entry may send one more request now.

        Args:
            entry: Name of this entry.
            entries: Names of all entries known to this one.
        """
        if self.allowance_entries is not entries:
            self.allowance = self._compute_allowance(entry, entries)
            self.allowance_entries = entries
        return self.sent.value() + 1 <= self.allowance

    def _compute_allowance(self, entry: str, entries: tuple[str, ...]) -> int:
        total = int(self.rate_per_s * USED_FRACTION)
        ranked = sorted({*entries, entry}, key=self._rank)
        position = ranked.index(entry)
        allowance, remainder = divmod(total, len(ranked))
        return allowance + (position < remainder)

    def _rank(self, entry: str) -> int:
        return _hashing.rendezvous_rank(self.upstream, entry)

    def record_send(self) -> None:
        """Counts a request sent to the upstream."""
        self.sent.add()


def max_cold_rate_per_s(
    policy: model.ServicePolicy, factor: float, slack: float
) -> float | None:
    """Returns the requests per second that a cold upstream may receive.

    Args:
        policy: Policy of the service; None is returned if it states no rate.
        factor: Tolerated multiple of the rate that the policy states.
        slack: Requests per second tolerated in addition.
    """
    if policy.cold_rate_per_s is None:
        return None
    return policy.cold_rate_per_s * factor + slack
