"""Whether a request may be sent once more."""

import trio

from guavapulley import model
from guavapulley.forwarding import _journey
from guavapulley.forwarding import _upstreams

# Connects that fail before anything is sent cost little; this bounds them.
MAX_CONNECTS = 4
# No exchange is begun again with less time left; a connection to another region
# and an exchange on it take about as long.
LEAST_TIME_S = 0.05


def should_repeat(
    journey: _journey.Journey,
    answer: model.Answer,
    upstreams: _upstreams.Upstreams,
) -> bool:
    """Returns whether a failure that an upstream answered is repeated."""
    return (
        answer.head.status >= 500
        and journey.is_idempotent()
        and may_repeat(journey, upstreams)
    )


def may_repeat(
    journey: _journey.Journey, upstreams: _upstreams.Upstreams
) -> bool:
    """Returns whether a request may be sent again; takes the budget."""
    if journey.may_have_run and not journey.is_idempotent():
        return False
    if journey.connects > MAX_CONNECTS:
        return False
    if not _has_time(journey, upstreams):
        return False
    if journey.sends == 0:
        return True
    if journey.sends >= journey.route.max_attempts:
        return False
    budget = upstreams.budget(journey.service)
    return budget.try_acquire(len(upstreams.entries))


def _has_time(
    journey: _journey.Journey, upstreams: _upstreams.Upstreams
) -> bool:
    """Returns whether the time that is left is enough for any exchange."""
    usual_s = upstreams.durations_of(journey.service).warm_s or 0.0
    left_s = journey.give_up_s - trio.current_time()
    return left_s >= max(LEAST_TIME_S, usual_s)
