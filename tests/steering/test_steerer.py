"""Guards against requests on a wrong upstream, too late or too often."""

import attrs
import pytest
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley import steering
from tests.steering import stubs

SHORT = model.Service("s", model.TrafficClass.SHORT, deadline_ms=2_000)
ONCE = attrs.evolve(SHORT, traffic_class=model.TrafficClass.ONCE)
BULK = attrs.evolve(SHORT, traffic_class=model.TrafficClass.BULK)
A = stubs.make_record("a")
B = stubs.make_record("b", domain="pb2", labels={"version": "2"})
REMOTE = stubs.make_record("far", region="za", domain="za1")


async def answer(upstream):
    await trio.sleep(0.01)
    return upstream.upstream


def make_failing_attempt(*names, not_run=False):
    async def attempt(upstream):
        if upstream.upstream in names:
            raise ports.UpstreamError(
                ports.UPSTREAM_BROKEN, "broken", not_run=not_run
            )
        return await answer(upstream)

    return attempt


async def run_refused(steerer, service=SHORT, attempt=answer, **fields):
    with pytest.raises(steering.SteeringError) as raised:
        await steerer.run(stubs.make_request(**fields), service, attempt)
    return raised.value


@pytest.mark.parametrize(
    ("records", "objects", "detached", "expected", "reason"),
    [
        ([A, REMOTE], (), False, "a", "far nearer region"),
        (
            [A, B],
            (model.Drain("d", "upstream = a"),),
            False,
            "b",
            "a drain:d",
        ),
        (
            [A, B],
            (
                model.LabelOverride("l", "upstream = a", {"old": "yes"}),
                model.Drain("d", "old"),
            ),
            False,
            "b",
            "a drain:d",
        ),
        (
            [attrs.evolve(A, state=model.UpstreamState.LEAVING), B],
            (),
            False,
            "b",
            "a leaving",
        ),
        (
            [A, B],
            (model.Intent("i", "", "version = 2"),),
            False,
            "b",
            "a intent:i",
        ),
        ([A, REMOTE], (), True, "a", "far detached"),
    ],
)
async def test_an_excluded_upstream_is_explained_with_its_reason(
    records, objects, detached, expected, reason, autojump_clock
):
    view = stubs.View(records, objects, detached=detached)
    steerer = stubs.make_steerer(view)
    for number in range(10):
        upstream = await steerer.run(stubs.make_request(number), SHORT, answer)
        assert upstream == expected
    decision = steerer.explain("r9")
    assert reason in {f"{e.upstream} {e.reason}" for e in decision.exclusions}
    assert [(a.upstream, a.outcome) for a in decision.attempts] == [
        (expected, "answered")
    ]


@pytest.mark.parametrize(
    ("records", "objects", "detached"),
    [
        ([], (), False),
        ([A], (model.Drain("d", ""),), False),
        ([REMOTE], (), True),
        ([A], (model.Intent("i", "", "version = 2"),), False),
    ],
)
async def test_a_request_without_an_upstream_is_refused_as_not_run(
    records, objects, detached, autojump_clock
):
    view = stubs.View(records, objects, detached=detached)
    error = await run_refused(stubs.make_steerer(view))
    assert (error.code, error.not_run) == (steering.NO_UPSTREAM, True)


async def test_a_drain_takes_effect_on_the_next_decision(autojump_clock):
    view = stubs.View([A, B])
    steerer = stubs.make_steerer(view)
    await steerer.run(stubs.make_request(), SHORT, answer)
    view.objects = (model.Drain("d", "upstream = a"),)
    upstreams = {
        await steerer.run(stubs.make_request(n), SHORT, answer)
        for n in range(20)
    }
    assert upstreams == {"b"}


async def test_an_intent_gets_its_share_of_the_requests(autojump_clock):
    intents = (
        model.Intent("ten", "", "version = 2", 10.0, priority=2),
        model.Intent("half", "", "upstream = a", 50.0, priority=1),
    )
    steerer = stubs.make_steerer(
        stubs.View([A, B], intents),
        settings=steering.SteeringSettings(history=2_000),
    )
    for number in range(2_000):
        await steerer.run(stubs.make_request(number), SHORT, answer)
    intent_names = [steerer.explain(f"r{n}").intent for n in range(2_000)]
    # The bounds are four standard deviations of a binomial distribution.
    assert abs(intent_names.count("ten") - 200) < 54
    assert abs(intent_names.count("half") - 900) < 89


@pytest.mark.parametrize(
    ("service", "not_run", "attempts", "succeeds"),
    [
        (SHORT, False, 2, True),
        (BULK, False, 2, True),
        (ONCE, False, 1, False),
        (ONCE, True, 2, True),
    ],
)
async def test_only_repeatable_requests_are_retried_in_another_failure_domain(
    service, not_run, attempts, succeeds, autojump_clock
):
    same_domain = stubs.make_record("a2")
    steerer = stubs.make_steerer(stubs.View([A, same_domain, B]))
    attempt = make_failing_attempt("a", "a2", not_run=not_run)
    if succeeds:
        # A request that is first sent to "b" needs no retry. Some of the ten
        # requests are first sent to another upstream.
        for number in range(10):
            upstream = await steerer.run(
                stubs.make_request(number), service, attempt
            )
            assert upstream == "b"
            decision = steerer.explain(f"r{number}")
            assert len(decision.attempts) <= attempts
    else:
        error = await run_refused(
            stubs.make_steerer(stubs.View([A])), service, attempt
        )
        assert (error.code, error.not_run) == ("UPSTREAM_FAILED", False)


async def test_retries_stay_within_their_budget(autojump_clock):
    attempts = 0

    async def broken(upstream):
        nonlocal attempts
        attempts += 1
        raise ports.UpstreamError("UPSTREAM_BROKEN", "broken", not_run=False)

    settings = steering.SteeringSettings()
    steerer = stubs.make_steerer(stubs.View([A, B]), settings=settings)
    for number in range(400):
        await run_refused(steerer, attempt=broken, request_id=f"r{number}")
    extra = 400 * settings.retry_percent / 100 + settings.budget_burst
    assert 400 < attempts <= 400 + extra


async def test_a_slow_request_is_hedged_and_the_loser_cancelled(autojump_clock):
    straggler = []

    async def straggling(upstream):
        if straggler == ["next"]:
            straggler[:] = [upstream.upstream]
        await trio.sleep(5 if upstream.upstream in straggler else 0.01)
        return upstream.upstream

    steerer = stubs.make_steerer(stubs.View([A, B]))
    for number in range(40):
        await steerer.run(stubs.make_request(number), SHORT, straggling)
    # The entry may use all its slots only some time after its start.
    await trio.sleep(3)
    straggler.append("next")
    started_at_s = trio.current_time()
    winner = await steerer.run(stubs.make_request(99), SHORT, straggling)
    assert trio.current_time() - started_at_s < 0.1
    attempts = steerer.explain("r99").attempts
    assert {(a.upstream, a.kind, a.outcome) for a in attempts} == {
        (straggler[0], "first", "cancelled"),
        (winner, "hedge", "answered"),
    }
    assert steerer.in_flight() == {}


async def test_a_deadline_error_says_whether_the_request_may_have_run(
    autojump_clock,
):
    async def endless(upstream):
        await trio.sleep_forever()

    one_slot = stubs.make_record("a", slots=1)
    steerer = stubs.make_steerer(stubs.View([one_slot]))
    errors = []

    async def send_one(number):
        errors.append(
            await run_refused(
                steerer, ONCE, endless, request_id=f"r{number}", deadline_s=1.0
            )
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_one, 0)
        nursery.start_soon(send_one, 1)
    assert {(e.code, e.not_run) for e in errors} == {
        ("DEADLINE_EXCEEDED", False),
        ("OVERLOADED", True),
    }
    assert steerer.in_flight() == {}


async def test_a_request_is_refused_at_once_when_the_queue_is_too_long(
    autojump_clock,
):
    async def run_for_one_second(upstream):
        await trio.sleep(1)

    steerer = stubs.make_steerer(stubs.View([stubs.make_record("a", slots=1)]))
    refused_after_s = []

    async def send_one(number):
        try:
            await steerer.run(
                stubs.make_request(number, deadline_s=5.0),
                BULK,
                run_for_one_second,
            )
        except steering.SteeringError as error:
            assert (error.code, error.not_run) == ("OVERLOADED", True)
            refused_after_s.append(trio.current_time() - started_at_s)

    started_at_s = trio.current_time()
    await send_one(0)
    started_at_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(1, 11):
            nursery.start_soon(send_one, number)
    # One request runs and three wait; the fifth would end at its deadline.
    assert len(refused_after_s) == 6
    assert max(refused_after_s) == 0
