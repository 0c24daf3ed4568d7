"""Guards against entries that together exceed a shared rate limit."""

import pytest
import trio

from guavapulley import routing


@pytest.mark.parametrize("entries", [1, 8, 13, 79])
async def test_a_cold_upstream_receives_at_most_its_rate(
    autojump_clock, entries
):
    names = tuple(f"edge-{number}" for number in range(entries))
    rate_per_s = 13.5
    budgets = [routing.ColdBudget("u1", rate_per_s) for _ in names]
    sent = []
    for _ in range(60):
        for name, budget in zip(names, budgets, strict=True):
            while budget.can_send(name, names):
                budget.record_send()
                sent.append(trio.current_time())
        await trio.sleep(0.05)
    busiest = max(
        sum(start <= at_s < start + 1.0 for at_s in sent) for start in set(sent)
    )
    assert 0 < busiest <= rate_per_s


async def test_retries_of_all_entries_stay_below_ratio_and_slack(
    autojump_clock,
):
    ratio, slack, window_s, entries = 0.2, 20, 10.0, 8
    budgets = [
        routing.RetryBudget(ratio, slack, window_s) for _ in range(entries)
    ]
    retries = 0
    for budget in budgets:
        for _ in range(50):
            budget.record_request()
            retries += budget.try_acquire(entries)
            retries += budget.try_acquire(entries)
    assert 0 < retries <= ratio * 50 * entries + slack
    await trio.sleep(window_s + 1)
    assert budgets[0].try_acquire(entries)


async def test_without_requests_only_the_slack_is_used(autojump_clock):
    budget = routing.RetryBudget(0.2, 56, 10.0)
    retries = sum(budget.try_acquire(8) for _ in range(100))
    assert retries <= 56 / 8
