"""Budgets for requests that are sent in addition to the first attempt."""

import attrs


@attrs.define
class Budget:
    """Extra requests, as a part of the requests.

    >>> budget = Budget(percent=50, burst=1, tokens=0)
    >>> budget.earn(); budget.take()
    False
    >>> budget.earn(); budget.take()
    True

    Attributes:
        percent: Extra requests in percent of the requests.
        burst: Most extra requests that can be saved up.
        tokens: Extra requests saved up now.
    """

    percent: float
    burst: float
    tokens: float

    def earn(self, factor: float = 1.0) -> None:
        """Counts a request.

        Args:
            factor: Part of the budget that it earns, from 0 to 1.
        """
        earned = self.tokens + factor * self.percent / 100
        self.tokens = min(self.burst, earned)

    def take(self) -> bool:
        """Returns whether an extra request may be sent, and counts it."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
