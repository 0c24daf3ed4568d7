"""Guards against slow dissemination, false deaths and lasting partitions."""

import pytest
import trio

from guavapulley import membership
from guavapulley import model

SEEDS = range(10)


async def wait_until(condition, limit_s):
    """Waits for a condition and returns the elapsed seconds."""
    started_at_s = trio.current_time()
    for _ in range(round(limit_s / 0.05)):
        if condition():
            break
        await trio.sleep(0.05)
    assert condition()
    return trio.current_time() - started_at_s


def upstream_state(registry, name):
    record = registry.upstream(name)
    return record.state if record else None


@pytest.mark.parametrize("notified", [True, False], ids=["notice", "gossip"])
@pytest.mark.parametrize("seed", SEEDS)
async def test_a_leave_reaches_all_entries_within_3_s(
    autojump_clock, make_entries, make_upstream, seed, notified
):
    entries = make_entries(11, seed)
    origin = entries.registries["e03"]
    origin.announce(make_upstream())
    await trio.sleep(10)
    registries = entries.registries.values()
    assert all(r.upstream("u1") for r in registries)
    if not notified:
        origin.notify = lambda key: None
    origin.leave("u1", 1)
    leaving = model.UpstreamState.LEAVING
    elapsed_s = await wait_until(
        lambda: all(upstream_state(r, "u1") is leaving for r in registries), 3.0
    )
    print(f"seed {seed}, notified {notified}: {elapsed_s:.2f} s")


async def test_the_number_of_calls_does_not_grow_with_the_entries(
    autojump_clock, make_entries
):
    entries = make_entries(20, 1)
    await trio.sleep(5)
    calls_before = entries.network.call_count
    await trio.sleep(5)
    calls = (entries.network.call_count - calls_before) / 20 / 5
    assert (
        calls <= membership.GOSSIP_FANOUT / membership.GOSSIP_INTERVAL_S * 1.1
    )


async def test_an_entry_whose_heartbeats_were_lost_refutes_the_suspicion(
    autojump_clock,
    make_entries,
):
    entries = make_entries(11, 2)
    await trio.sleep(5)
    # Only messages from e04 are lost, so it receives the suspicion before the
    # others receive a heartbeat. Otherwise the heartbeat could end the
    # suspicion first.
    entries.block_outgoing("e04")
    observer = entries.registries["e00"]
    await wait_until(lambda: "e04" in observer.suspected_names(), 5)
    await wait_until(
        lambda: entries.registries["e04"].own_record.incarnation > 1, 3
    )
    entries.isolate([])
    await wait_until(lambda: "e04" not in observer.suspected_names(), 3)
    assert "e04" in entries.live_names("e00")
    remote = observer.entry_table.remote_entries["e04"]
    await wait_until(lambda: remote.record.incarnation > 1, 3)
    assert remote.flaps == 0


async def test_a_dead_entry_is_detected_and_rejoins_after_the_partition(
    autojump_clock,
    make_entries,
):
    entries = make_entries(11, 3)
    await trio.sleep(5)
    region_names = ["e01", "e04", "e07", "e10"]
    entries.isolate(region_names)
    all_names = set(entries.registries)
    sides = {
        name: set(region_names)
        if name in region_names
        else all_names - set(region_names)
        for name in all_names
    }
    # An entry is dead after 6 s of silence. The last heartbeats are gossiped
    # for up to 3 s.
    elapsed_s = await wait_until(
        lambda: all(
            entries.live_names(name) == sides[name] for name in all_names
        ),
        9,
    )
    print(f"detected by all after {elapsed_s:.2f} s")
    await trio.sleep(60)
    entries.isolate([])
    elapsed_s = await wait_until(
        lambda: all(
            entries.live_names(name) == all_names for name in all_names
        ),
        15,
    )
    print(f"rejoined after {elapsed_s:.2f} s")


async def test_a_flapping_entry_gets_a_longer_probation_each_time(
    autojump_clock, make_entries
):
    entries = make_entries(5, 4)
    await trio.sleep(5)
    probations_s = []
    for _ in range(4):
        entries.isolate(["e03"])
        await wait_until(lambda: "e03" not in entries.live_names("e00"), 10)
        entries.isolate([])
        remote = entries.registries["e00"].entry_table.remote_entries["e03"]
        await wait_until(lambda remote=remote: not remote.is_dead(), 20)
        probations_s.append(
            await wait_until(lambda: "e03" in entries.live_names("e00"), 30)
        )
    assert probations_s[0] < 0.5
    assert probations_s[1:] == pytest.approx([2, 4, 8], abs=0.3)


async def test_a_restarted_entry_with_an_earlier_clock_is_accepted(
    autojump_clock, make_entries, make_entry
):
    entries = make_entries(5, 5)
    await trio.sleep(5)
    entries.registries["e01"].entry_table.own_record = make_entry(
        1, incarnation=0
    )
    await trio.sleep(3)
    own_record = entries.registries["e01"].own_record
    assert own_record.incarnation > 1
    remote = entries.registries["e02"].entry_table.remote_entries["e01"]
    assert remote.record.incarnation == own_record.incarnation


async def test_a_stopping_entry_is_removed_from_all_live_lists(
    autojump_clock, make_entries
):
    entries = make_entries(11, 6)
    await trio.sleep(5)
    entries.registries["e05"].set_state(model.EntryState.LEAVING)
    await wait_until(
        lambda: all(
            "e05" not in entries.live_names(n) for n in entries.registries
        ),
        0.5,
    )


async def test_all_of_many_records_are_sent_despite_constant_renewals(
    autojump_clock, make_entries, make_upstream
):
    entries = make_entries(3, 7)
    names = [f"u{i:03}" for i in range(300)]
    source = entries.registries["e02"]
    for name in names:
        source.announce(make_upstream(name))
    for step in range(1, 13):
        for name in names[:150]:
            source.renew(name, 1, step, None)
        await trio.sleep(0.5)
    other = entries.registries["e01"]
    assert all(other.upstream(name) for name in names)
