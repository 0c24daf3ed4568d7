"""Decision about the requests that an entry begins while it stops."""

import attrs


@attrs.frozen
class StopSchedule:
    """Times of a planned stop, in seconds on trio's clock.

    Attributes:
        open_until_s: Requests are begun until then whatever time they need,
            as callers still use earlier lookups.
        last_deadline_s: A request is begun later only if its deadline is not
            after this time, so that it gets an answer before the entry ends.
    """

    open_until_s: float
    last_deadline_s: float

    def may_begin(self, now_s: float, deadline_at_s: float) -> bool:
        """Returns whether a request may be sent to an upstream.

        Args:
            now_s: Current time.
            deadline_at_s: Time by which the request gets its final answer.
        """
        return (
            now_s < self.open_until_s or deadline_at_s <= self.last_deadline_s
        )
