"""Budgets that limit retries and hedges."""

import attrs


@attrs.define
class Budget:
    """Token bucket that limits extra requests to a percentage of requests.

    >>> budget = Budget(percent=50, burst=1, tokens=0)
    >>> budget.add_request(); budget.try_spend()
    False
    >>> budget.add_request(); budget.try_spend()
    True

    Attributes:
        percent: Extra requests in percent of the requests.
        burst: Maximum number of tokens.
        tokens: Number of extra requests that may be sent now.
    """

    percent: float
    burst: float
    tokens: float

    def add_request(self, fraction: float = 1.0) -> None:
        """Adds the tokens that a request earns.

        Args:
            fraction: Fraction of the usual tokens to add, from 0 to 1.
        """
        earned = self.tokens + fraction * self.percent / 100
        self.tokens = min(self.burst, earned)

    def try_spend(self) -> bool:
        """Spends a token and returns True, or returns False without one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
