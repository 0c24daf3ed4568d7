"""Guards against leases of a link that together exceed its cap."""

import random

import pytest
import trio

from guavapulley import control
from guavapulley import model

LEASE_S = control._leases.LEASE_S
DIRECTION = ("pb", "za")
CAP = 125_000.0  # 1 Mbit/s in bytes per second


def link(mbit_per_s=1.0, max_entries=16):
    return model.LinkCap("pb za", mbit_per_s, max_entries)


def request_share(leases, entry, demand, term=1):
    request = model.LeaseShare(entry, (model.ShareDemand(*DIRECTION, demand),))
    grants = leases.lease(request, term).grants
    return grants[0].bytes_per_s if grants else 0.0


@pytest.fixture
def leases():
    return control.LinkLeases()


async def wait_until_granted(is_granted):
    for _ in range(500):
        if is_granted():
            return
        await trio.sleep(0.01)
    raise AssertionError("nothing was granted within 5 s")


async def start_leasing(leases, mbit_per_s=1.0):
    leases.set_caps([link(mbit_per_s)])
    request_share(leases, "e1", 0)
    await trio.sleep(2.4)
    return leases


async def test_a_new_leader_waits_until_earlier_leases_have_expired(
    autojump_clock, leases
):
    leases.set_caps([link()])
    for term in (1, 2):
        start_s = trio.current_time()
        await wait_until_granted(
            lambda term=term: request_share(leases, "e1", CAP, term)
        )
        assert trio.current_time() - start_s >= LEASE_S * 1.05 / 0.95


@pytest.mark.parametrize(
    ("demands", "expected"),
    [
        ({"a": 10, "b": 20}, {"a": 10, "b": 20}),
        ({"a": 50, "b": 50, "c": 20}, {"a": 40, "b": 40, "c": 20}),
        ({"a": 500, "b": 500, "c": 0}, {"a": 50, "b": 50, "c": 0}),
        ({"a": float("inf")}, {"a": 100}),
        ({}, {}),
    ],
)
def test_shares_are_max_min_fair(demands, expected):
    assert control.max_min_shares(demands, 100) == expected


async def test_a_later_demand_gets_its_fair_share_within_5_s(
    autojump_clock, leases
):
    await start_leasing(leases)
    assert request_share(leases, "e1", CAP) == pytest.approx(0.8 * CAP)
    assert request_share(leases, "e2", CAP) == 0
    for _ in range(6):
        await trio.sleep(0.8)
        shares = [request_share(leases, entry, CAP) for entry in ("e1", "e2")]
    assert shares == pytest.approx([0.4 * CAP, 0.4 * CAP])


async def test_the_share_of_a_silent_entry_is_held_until_it_expires(
    autojump_clock, leases
):
    await start_leasing(leases)
    request_share(leases, "e1", CAP)
    granted_s = trio.current_time()
    await wait_until_granted(
        lambda: request_share(leases, "e2", CAP) > 0.1 * CAP
    )
    # An entry uses its lease for 2 s on its own clock, which may be slow.
    assert trio.current_time() - granted_s >= LEASE_S * 1.05 / 0.95


async def test_the_unleased_fraction_of_a_replaced_cap_is_not_leased(
    autojump_clock, leases
):
    await start_leasing(leases, 4.0)
    leases.set_caps([link(1.0)])
    assert request_share(leases, "e1", CAP) == pytest.approx(0.2 * CAP)
    await trio.sleep(11.2)
    assert request_share(leases, "e1", CAP) == pytest.approx(0.8 * CAP)


class Entry:
    """An entry whose clock drifts, and which gets changes late or never."""

    def __init__(self, name, rng):
        self.name = name
        self.clock_rate = rng.choice([0.95 / 1.05, 1.0, 1.05 / 0.95])
        self.grants = []  # bytes per second, true end
        self.known_cap = 1.0
        self.contact_s = trio.current_time()

    def usable_bytes_per_s(self, now_s):
        if (now_s - self.contact_s) * self.clock_rate > 10:
            return 0.0  # detached
        leased = [share for share, end_s in self.grants if end_s > now_s]
        # The newest reply that arrived replaces older ones.
        return (leased[-1] if leased else 0.0) + 0.2 * CAP * self.known_cap / 16


@pytest.mark.parametrize("seed", range(12))
async def test_usable_shares_never_exceed_the_cap(autojump_clock, leases, seed):
    """Models entries that lose messages and whose clocks drift.

    The rate of an entry's clock is relative to that of the leader; each of
    the two clocks drifts by at most 5 %.
    """
    print(f"seed {seed}")
    rng = random.Random(seed)
    leases.set_caps([link()])
    entries = [Entry(f"e{i}", rng) for i in range(11)]
    history = [(trio.current_time(), 1.0)]
    term, max_used_fraction = 1, 0.0
    for _ in range(1_500):
        await trio.sleep(rng.uniform(0, 0.1))
        now_s = trio.current_time()
        entry = rng.choice(entries)
        share = request_share(
            leases, entry.name, rng.choice([0, 0.1, 0.5, 2]) * CAP, term
        )
        if rng.random() < 0.7:  # otherwise the reply is lost
            sent_s = now_s - rng.uniform(0, 0.035)
            entry.grants.append((share, sent_s + LEASE_S / entry.clock_rate))
        if rng.random() < 0.02:
            history.append((now_s, rng.uniform(0.3, 1.0)))
            leases.set_caps([link(history[-1][1])])
        if rng.random() < 0.005:
            term += 1
        for other in rng.sample(entries, 2):  # one of these is cut off
            if other is not entries[0] or now_s < 20:
                other.known_cap, other.contact_s = history[-1][1], now_s
        # A lowered cap holds once the leases under earlier caps have expired.
        earlier_caps = [
            cap
            for (_, cap), (until_s, _) in zip(
                history, history[1:], strict=False
            )
            if until_s > now_s - LEASE_S * 1.05 / 0.95 - 0.1
        ]
        allowed = max(history[-1][1], *earlier_caps, 0) * CAP
        used = sum(item.usable_bytes_per_s(now_s) for item in entries)
        max_used_fraction = max(max_used_fraction, used / allowed)
        assert used <= allowed * 1.000001, seed
    assert max_used_fraction > 0.5  # the model uses the link
    print(f"seed {seed}: at most {max_used_fraction:.3f} of the cap")
