"""Guards against repeated execution of non-idempotent requests."""

import collections
import contextlib
import random

import attrs
import pytest
import trio
import trio.testing

from guavapulley import model
from guavapulley import ports
from guavapulley import serving

KEY = "k1"
# Faults of an upstream. Only after "refused" did the request certainly not run.
FAULTS = ("none", "refused", "lost", "broken", "hang", "cut")
SCHEDULES = 300


def make_request(
    request_id="r1", key=KEY, body=b"x", created_s=1_800_000_000.0
):
    return model.SteeredRequest(
        request_id,
        "orders",
        "POST",
        "/",
        body=body,
        idempotency_key=key,
        key_created_s=created_s,
    )


async def start_entries(memory, nursery, faults=(), count=1):
    control = memory.MemoryControl(nursery)
    upstreams = memory.MemoryUpstreams(faults)
    entries = [
        memory.Entry(f"e{number}", control, upstreams)
        for number in range(count)
    ]
    for entry in entries:
        await entry.start(nursery)
    return control, upstreams, entries


async def handle_with_error(entry, request):
    with pytest.raises(serving.ServingError) as raised:
        await entry.handle(request)
    return raised.value


async def test_resend_at_another_entry_gets_the_stored_answer(
    memory, autojump_clock
):
    async with trio.open_nursery() as nursery:
        _, upstreams, (first, second) = await start_entries(
            memory, nursery, count=2
        )
        answers = [
            await first.handle(make_request()),
            await second.handle(make_request("2")),
        ]
        nursery.cancel_scope.cancel()
    assert [answer.body for answer in answers] == [b"done x"] * 2
    assert upstreams.executions_by_key == {KEY: 1}


async def test_concurrent_resends_run_once(memory, autojump_clock):
    codes = collections.Counter()

    async def send(entry, request):
        try:
            await entry.handle(request)
            codes["answered"] += 1
        except serving.ServingError as error:
            codes[error.code, error.not_run] += 1

    async with trio.open_nursery() as nursery:
        _, upstreams, entries = await start_entries(memory, nursery, count=3)
        async with trio.open_nursery() as callers:
            for entry in entries:
                # Equal request IDs must not share a claim.
                callers.start_soon(send, entry, make_request())
                callers.start_soon(send, entry, make_request())
        nursery.cancel_scope.cancel()
    assert upstreams.executions_by_key == {KEY: 1}
    assert codes == {"answered": 1, (serving.OUTCOME_UNKNOWN, False): 5}


@pytest.mark.parametrize(
    ("faults", "code", "not_run", "executions", "resend_runs"),
    [
        (["refused"] * 3, "UPSTREAM_NOT_REACHED", True, 0, True),
        (["refused", "none"], None, None, 1, False),
        (["lost"], serving.OUTCOME_UNKNOWN, False, 0, False),
        (["broken"], serving.OUTCOME_UNKNOWN, False, 1, False),
        (["hang"], serving.OUTCOME_UNKNOWN, False, 1, False),
        (["cut"], serving.OUTCOME_UNKNOWN, False, 1, False),
    ],
)
async def test_claim_is_released_only_when_nothing_was_sent(
    memory, autojump_clock, faults, code, not_run, executions, resend_runs
):
    async with trio.open_nursery() as nursery:
        control, upstreams, (entry,) = await start_entries(
            memory, nursery, faults
        )
        if code is None:
            assert (await entry.handle(make_request())).body == b"done x"
        else:
            error = await handle_with_error(entry, make_request())
            assert (error.code, error.not_run) == (code, not_run)
        assert upstreams.executions_by_key[KEY] == executions
        assert (f"orders/{KEY}" in control.records) is not resend_runs
        if resend_runs:
            await entry.handle(make_request("r2"))
        elif code:
            error = await handle_with_error(entry, make_request("r2"))
            assert error.code == serving.OUTCOME_UNKNOWN
        nursery.cancel_scope.cancel()
    assert upstreams.executions_by_key[KEY] == executions + resend_runs


@pytest.mark.parametrize(
    ("crash_at_s", "executions", "recorded"),
    [
        # The claim takes 0.04 s and the dispatch 0.055 s; the record is in
        # transit from then on.
        (0.0395, 0, False),
        (0.0600, 1, False),
        (0.0949, 1, False),
        (0.0955, 1, True),
    ],
)
async def test_claim_of_a_crashed_entry_is_not_executed_again(
    memory, autojump_clock, crash_at_s, executions, recorded
):
    async with trio.open_nursery() as nursery:
        control, upstreams, (first, second) = await start_entries(
            memory, nursery, count=2
        )
        # Every message takes 0.02 s.
        control.rng.random = lambda: 0.9999
        async with trio.open_nursery() as callers:
            callers.start_soon(first.handle, make_request())
            await trio.sleep(crash_at_s)
            first.crash()
        assert upstreams.executions_by_key[KEY] == executions
        if recorded:
            assert (await second.handle(make_request("r2"))).body == b"done x"
        else:
            error = await handle_with_error(second, make_request("r2"))
            assert error.code == serving.OUTCOME_UNKNOWN
            assert not error.not_run
        nursery.cancel_scope.cancel()
    assert upstreams.executions_by_key[KEY] == executions


async def test_reply_waits_for_its_record_for_a_limited_time(
    memory, autojump_clock
):
    async with trio.open_nursery() as nursery:
        control, _, (entry,) = await start_entries(memory, nursery)
        control.max_delay_s = 0.0
        async with trio.open_nursery() as callers:
            callers.start_soon(entry.handle, make_request())
            await trio.sleep(0.01)
            entry.link.down = True
            control.max_delay_s = 100.0
            started_at_s = trio.current_time()
        assert trio.current_time() - started_at_s <= (
            0.1 + serving.RECORD_BEFORE_REPLY_TIMEOUT_S
        )
        entry.link.down, control.max_delay_s = False, 0.0
        await entry.once.flush_late_outcomes()
        stored = await entry.once.outcome("orders", KEY)
        assert stored.kind is model.OutcomeKind.COMPLETED
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ({"key_created_s": None}, "KEY_AGE_UNKNOWN"),
        ({"key_created_s": 1_800_000_400.0}, "KEY_AGE_INVALID"),
        ({"key_created_s": 1_799_000_000.0}, "KEY_EXPIRED"),
        ({"idempotency_key": ""}, "KEY_INVALID"),
        ({"idempotency_key": "k" * 201}, "KEY_INVALID"),
        # UUID of version 7 from 2023; the header cannot override its time.
        (
            {"idempotency_key": "01890a5d-ac96-774b-bcce-b302099a8057"},
            "KEY_EXPIRED",
        ),
        ({"body": b"other"}, "KEY_REUSED"),
    ],
)
async def test_unusable_keys_are_refused(memory, autojump_clock, changes, code):
    async with trio.open_nursery() as nursery:
        _, upstreams, (entry,) = await start_entries(memory, nursery)
        if code == "KEY_REUSED":
            await entry.handle(make_request())
        sent_before = upstreams.sent
        error = await handle_with_error(
            entry, attrs.evolve(make_request("r2"), **changes)
        )
        nursery.cancel_scope.cancel()
    assert (error.code, error.not_run) == (code, True)
    assert upstreams.sent == sent_before


async def test_no_dispatch_without_a_claim(memory, autojump_clock):
    async with trio.open_nursery() as nursery:
        _, upstreams, (entry,) = await start_entries(memory, nursery)
        entry.link.down = True
        error = await handle_with_error(entry, make_request())
        nursery.cancel_scope.cancel()
    assert (error.code, error.not_run) == ("CLAIM_FAILED", True)
    assert not upstreams.sent


async def test_request_without_a_key_is_sent_once(memory, autojump_clock):
    async with trio.open_nursery() as nursery:
        control, upstreams, (entry,) = await start_entries(
            memory, nursery, ["broken"]
        )
        error = await handle_with_error(entry, make_request(key=None))
        nursery.cancel_scope.cancel()
    assert not error.not_run
    assert upstreams.sent == 1
    assert not control.calls


async def test_concurrent_attempts_of_a_once_request_are_prevented(
    memory, autojump_clock
):
    class HedgingSteerer:
        async def run(self, request, service, attempt):
            answers = []

            async def make_attempt():
                with contextlib.suppress(ports.UpstreamError):
                    answers.append(await attempt(memory.upstream()))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(make_attempt)
                nursery.start_soon(make_attempt)
            return answers[0]

    async with trio.open_nursery() as nursery:
        _, upstreams, (entry,) = await start_entries(memory, nursery)
        entry.once.steerer = HedgingSteerer()
        await entry.handle(make_request())
        nursery.cancel_scope.cancel()
    assert upstreams.executions_by_key == {KEY: 1}


class Schedule:
    """Random requests, message losses, a crash and faults from one seed."""

    def __init__(self, memory, seed):
        self.memory = memory
        self.rng = random.Random(seed)
        self.answers = collections.defaultdict(list)
        self.upstreams = None

    async def run(self):
        async with trio.open_nursery() as nursery:
            control = self.memory.MemoryControl(
                nursery,
                self.rng,
                self.rng.choice((0.0, 0.2)),
                self.rng.choice((0.01, 0.2, 8.0)),
            )
            # Most dispatches succeed, so that resends also get stored answers.
            faults = self.rng.choices(FAULTS, (5, 2, 1, 1, 1, 1), k=30)
            self.upstreams = self.memory.MemoryUpstreams(faults)
            entries = []
            for number in range(3):
                entry = self.memory.Entry(f"e{number}", control, self.upstreams)
                await entry.start(nursery)
                entries.append(entry)
            async with trio.open_nursery() as callers:
                for number in range(8):
                    callers.start_soon(
                        self._call, f"r{number}", self.rng.choice(entries)
                    )
                callers.start_soon(self._crash, self.rng.choice(entries))
            nursery.cancel_scope.cancel()

    async def _call(self, request_id, entry):
        await trio.sleep(self.rng.random() * self.rng.choice((0.05, 3.0)))
        key = self.rng.choice(("k1", "k2"))
        try:
            reply = await entry.handle(make_request(request_id, key))
        except serving.ServingError as error:
            if error.not_run:
                assert not self.upstreams.executions_by_request[request_id], (
                    error
                )
        else:
            if reply is not None:
                self.answers[key].append(reply.body)

    async def _crash(self, entry):
        await trio.sleep(self.rng.random() * 0.3)
        entry.crash()


@pytest.mark.parametrize("first", range(0, SCHEDULES, 50))
def test_random_schedules_execute_each_key_at_most_once(memory, first):
    executions = collections.Counter()
    for seed in range(first, first + 50):
        schedule = Schedule(memory, seed)
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(schedule.run, clock=clock)
        assert (
            max(schedule.upstreams.executions_by_key.values(), default=0) <= 1
        ), seed
        assert set(schedule.upstreams.executions_by_key) >= set(
            schedule.answers
        ), seed
        executions.update(schedule.upstreams.executions_by_key.values())
    # The schedules must include requests that were executed.
    assert executions[1] > 10
