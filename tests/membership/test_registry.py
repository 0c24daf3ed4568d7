"""Guards against the use of dead upstreams and the loss of usable ones."""

import random

import pytest
import trio

from guavapulley import membership
from guavapulley import model
from guavapulley import ports

FRESH = ports.Freshness.FRESH
STALE = ports.Freshness.STALE
EXPIRED = ports.Freshness.EXPIRED
DOMAINS = ("pb1", "pb2", "za1", "za2")


@pytest.fixture
def registry(make_entry):
    return membership.Registry(make_entry(0))


def freshness(registry):
    view = registry.upstreams("line-status")
    return {
        observation.record.upstream: observation.freshness
        for observation in view
    }


class Fleet:
    """Three upstreams in each of four failure domains that renew."""

    def __init__(self, registry, make_upstream):
        self.registry = registry
        self.sequence = 0
        self.silent = set()
        self.names = {
            f"{domain}-{i}": domain for domain in DOMAINS for i in range(3)
        }
        for name, domain in self.names.items():
            registry.announce(
                make_upstream(name, failure_domain=domain, region=domain[:2])
            )

    async def run(self, seconds, dispatch=lambda name: None):
        for _ in range(seconds):
            self.sequence += 1
            await trio.sleep(1)
            for name, domain in self.names.items():
                if domain not in self.silent:
                    self.registry.renew(name, 1, self.sequence, None)
                if freshness(self.registry)[name] is not EXPIRED:
                    succeeded = dispatch(name)
                    if succeeded is not None:
                        self.registry.record_dispatch_result(name, succeeded)


async def test_upstreams_of_a_lost_region_expire_and_the_others_stay(
    autojump_clock, registry, make_upstream
):
    fleet = Fleet(registry, make_upstream)
    await fleet.run(3, lambda name: True)
    fleet.silent = {"pb1", "pb2"}
    await fleet.run(7, lambda name: not name.startswith("pb"))
    freshness_by_name = freshness(registry)
    assert {
        n for n in freshness_by_name if freshness_by_name[n] is EXPIRED
    } == {n for n in fleet.names if n.startswith("pb")}
    assert set(freshness_by_name.values()) == {FRESH, EXPIRED}


async def test_stopped_renewals_leave_working_upstreams_usable(
    autojump_clock, registry, make_upstream
):
    fleet = Fleet(registry, make_upstream)
    fleet.silent = set(DOMAINS)
    await fleet.run(300, lambda name: name != "pb1-0")
    freshness_by_name = freshness(registry)
    assert freshness_by_name.pop("pb1-0") is EXPIRED
    assert set(freshness_by_name.values()) == {STALE}


async def test_stopped_renewals_of_one_domain_need_a_successful_dispatch(
    autojump_clock, registry, make_upstream
):
    fleet = Fleet(registry, make_upstream)
    fleet.silent = {"za2"}
    await fleet.run(10)
    assert freshness(registry)["za2-0"] is EXPIRED
    fleet.silent = set()
    await fleet.run(1)
    fleet.silent = {"za2"}
    await fleet.run(10, lambda name: True)
    assert freshness(registry)["za2-0"] is STALE


async def test_a_service_without_any_renewal_is_usable_until_it_fails(
    autojump_clock, registry, make_upstream
):
    fleet = Fleet(registry, make_upstream)
    fleet.silent = set(DOMAINS)
    await fleet.run(20)
    assert set(freshness(registry).values()) == {STALE}
    await fleet.run(3, lambda name: False)
    assert set(freshness(registry).values()) == {EXPIRED}


async def test_one_silent_upstream_among_many_expires(
    autojump_clock, registry, make_upstream
):
    fleet = Fleet(registry, make_upstream)
    registry.announce(make_upstream("lost", failure_domain="pb1"))
    await fleet.run(6, lambda name: True)
    registry.record_dispatch_result("lost", True)
    assert freshness(registry)["lost"] is EXPIRED
    registry.renew("lost", 1, 1, None)
    (returned,) = (
        u
        for u in registry.upstreams("line-status")
        if u.record.upstream == "lost"
    )
    assert (returned.freshness, returned.first_seen_s) == (
        FRESH,
        trio.current_time(),
    )


async def test_expired_upstreams_are_removed(
    autojump_clock, registry, make_upstream
):
    registry.announce(make_upstream())
    registry.record_dispatch_result("u1", False)
    await trio.sleep(membership.FORGET_AFTER_S - 1)
    registry.begin_round()
    assert registry.upstream("u1")
    registry.record_dispatch_result("u1", False)
    await trio.sleep(2)
    registry.begin_round()
    assert registry.upstream("u1") is None


async def test_records_merge_to_the_same_state_in_any_order(
    autojump_clock, make_entry, make_upstream
):
    leaving = model.UpstreamState.LEAVING
    records = [
        make_upstream(incarnation=1, sequence=9),
        make_upstream(incarnation=2, sequence=1),
        make_upstream(incarnation=2, sequence=2, state=leaving),
        make_upstream(incarnation=2, sequence=3),
    ]
    for seed in range(20):
        shuffled = random.Random(seed).sample(records, len(records))
        registry = membership.Registry(make_entry(0))
        registry.merge((), shuffled)
        assert registry.upstream("u1") == records[2], seed


async def test_gossip_carries_ages_instead_of_times(
    autojump_clock, registry, make_entry, make_upstream
):
    registry.announce(make_upstream())
    await trio.sleep(4)
    other = membership.Registry(make_entry(1))
    sent = registry.next_records(64)
    other.merge(sent.entries, sent.upstreams)
    (received,) = other.upstreams("line-status")
    assert received.renewed_at_s == pytest.approx(trio.current_time() - 4)


# Values that could not be encoded for other entries, or break a clock.
ODD_FIELDS = (
    {"service": "a\ud800"},
    {"service": "s" * 200_000},
    {"slots": 2**70},
    {"incarnation": 2**64},
    {"sequence": 10**400},
    {"address": model.NodeAddress("10.0.0.1", 65_536)},
    {"address": model.NodeAddress("", 80)},
    {"cold_s": float("nan")},
    {"cold_s": 1e308},
    {"labels": {"a": "\ud800"}},
    {"load": model.LoadReport(-1)},
)


@pytest.mark.parametrize(
    ("call", "code"),
    [
        (lambda r, make: r.renew("x", 1, 1, None), "UPSTREAM_UNKNOWN"),
        (lambda r, make: r.leave("x", 1), "UPSTREAM_UNKNOWN"),
        (lambda r, make: r.renew("u1", 6, 1, None), "UPSTREAM_UNKNOWN"),
        (lambda r, make: r.renew("u1", 4, 1, None), "UPSTREAM_SUPERSEDED"),
        (lambda r, make: r.renew("gone", 5, 9, None), "UPSTREAM_SUPERSEDED"),
        (
            lambda r, make: r.announce(make(incarnation=4)),
            "UPSTREAM_SUPERSEDED",
        ),
        (lambda r, make: r.announce(make(slots=0)), "UPSTREAM_INVALID"),
        (
            lambda r, make: r.announce(make(labels={"a": "b" * 129})),
            "UPSTREAM_INVALID",
        ),
        *(
            (
                lambda r, make, odd=odd: r.announce(make(**odd)),
                "UPSTREAM_INVALID",
            )
            for odd in ODD_FIELDS
        ),
        (lambda r, make: r.renew("u1", 5, 2**70, None), "UPSTREAM_INVALID"),
        (
            lambda r, make: r.renew("u1", 5, 9, model.LoadReport(10**400)),
            "UPSTREAM_INVALID",
        ),
    ],
)
async def test_an_invalid_request_of_an_upstream_is_refused(
    autojump_clock, registry, make_upstream, call, code
):
    registry.announce(make_upstream(incarnation=5))
    registry.announce(make_upstream("gone", incarnation=5))
    registry.leave("gone", 5)
    with pytest.raises(membership.MembershipError) as caught:
        call(registry, make_upstream)
    assert caught.value.code == code
