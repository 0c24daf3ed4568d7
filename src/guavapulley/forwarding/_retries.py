"""Decision whether a request may be sent again."""

import trio

from guavapulley import model
from guavapulley.forwarding import _context
from guavapulley.forwarding import _registry

# A connection attempt that fails before anything is sent is cheap, so these are
# limited separately from the retry budget.
MAX_FAILED_CONNECTS = 4
# No exchange starts with less time left. A connection to another region and an
# exchange on it take about as long.
MIN_REMAINING_S = 0.05


def should_retry(
    context: _context.RequestContext,
    answer: model.Answer,
    registry: _registry.UpstreamRegistry,
) -> bool:
    """Returns whether to retry a request that an upstream answered.

    A retry is spent from the budget if so.

    Args:
        context: The request.
        answer: Answer of the upstream.
        registry: Retry budgets and typical durations.
    """
    return (
        answer.head.status >= 500
        and context.is_idempotent()
        and try_acquire_retry(context, registry)
    )


def try_acquire_retry(
    context: _context.RequestContext, registry: _registry.UpstreamRegistry
) -> bool:
    """Returns whether a request may be sent again.

    A retry is spent from the budget if so and if an earlier send may have
    reached an upstream.

    Args:
        context: The request.
        registry: Retry budgets and typical durations.
    """
    if context.may_have_run and not context.is_idempotent():
        return False
    if context.failed_connects > MAX_FAILED_CONNECTS:
        return False
    if not _has_time(context, registry):
        return False
    if context.sends == 0:
        return True
    if context.sends >= context.route.max_attempts:
        return False
    retry_budget = registry.retry_budget(context.service)
    return retry_budget.try_acquire(len(registry.entries))


def _has_time(
    context: _context.RequestContext, registry: _registry.UpstreamRegistry
) -> bool:
    """Returns whether the remaining time suffices for an exchange."""
    typical_s = registry.typical_durations(context.service).warm_s or 0.0
    remaining_s = context.deadline_at_s - trio.current_time()
    return remaining_s >= max(MIN_REMAINING_S, typical_s)
