"""Guards against stale configurations that are taken for current ones."""

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley import serving


class Replica:
    """A control replica whose links can be cut in both directions."""

    def __init__(self, revision):
        self.revision = revision
        self.confirmed = True
        self.reachable = True
        self.answers = 0

    async def watch(self, request):
        if not self.reachable:
            await trio.sleep(0.5)
            raise ports.PeerError(ports.CALL_TIMEOUT, "cut off")
        if request.confirm and not self.confirmed:
            raise ports.PeerError(ports.CALL_TIMEOUT, "no quorum")
        ends_at_s = trio.current_time() + request.wait_s
        while self.revision <= request.after:
            if trio.current_time() >= ends_at_s:
                break
            await trio.sleep(0.05)
        self.answers += 1
        newer = self.revision > request.after
        found = model.Configuration(self.revision) if newer else None
        return model.WatchReply(found, self.revision, self.confirmed)


class Replicas:
    """`serving.ConfigurationSource` over several replicas."""

    def __init__(self, *replicas):
        self.replicas = replicas
        self.current = 0

    async def watch(self, request):
        return await self.replicas[self.current].watch(request)

    def switch_replica(self):
        self.current = (self.current + 1) % len(self.replicas)


def follow(nursery, source, gossiped=lambda: 0):
    follower = serving.ConfigurationFollower(
        "e1", source, gossiped, ports.NullEventLog()
    )
    nursery.start_soon(follower.run)
    return follower


STATE = serving.FollowerState


async def test_entry_is_unconfirmed_until_a_majority_has_answered(
    autojump_clock,
):
    stale, fresh = Replica(3), Replica(7)
    stale.confirmed = False
    fresh.reachable = False
    async with trio.open_nursery() as nursery:
        follower = follow(nursery, Replicas(stale, fresh))
        await trio.sleep(5)
        assert follower.state() is STATE.UNCONFIRMED
        fresh.reachable = True
        await follower.ready.wait()
        assert follower.configuration.revision == 7
        await trio.sleep(30)
        assert follower.state() is STATE.CONFIRMED
        nursery.cancel_scope.cancel()


async def test_change_is_in_force_within_two_seconds(autojump_clock):
    replica = Replica(1)
    async with trio.open_nursery() as nursery:
        follower = follow(nursery, Replicas(replica))
        await follower.ready.wait()
        for revision in range(2, 30):
            replica.revision = revision
            await trio.sleep(0.2)
            assert follower.configuration.revision == revision
        nursery.cancel_scope.cancel()


async def test_cut_off_entry_detaches_after_the_lease(autojump_clock):
    replica = Replica(1)
    async with trio.open_nursery() as nursery:
        follower = follow(nursery, Replicas(replica))
        await trio.sleep(21)
        replica.reachable = False
        await trio.sleep(serving.CONFIGURATION_LEASE_S - 2.5)
        assert follower.state() is STATE.CONFIRMED
        await trio.sleep(2.6)
        assert follower.state() is STATE.DETACHED
        replica.reachable, replica.revision = True, 2
        await trio.sleep(3)
        assert follower.state() is STATE.CONFIRMED
        assert follower.configuration.revision == 2
        nursery.cancel_scope.cancel()


async def test_silently_isolated_replica_is_left(autojump_clock):
    # The isolated replica still answers, but it knows of no quorum; the
    # entry must neither stay confirmed by it nor miss the change elsewhere.
    isolated, other = Replica(5), Replica(5)
    async with trio.open_nursery() as nursery:
        follower = follow(nursery, Replicas(isolated, other))
        await trio.sleep(4)
        isolated.confirmed = False
        other.revision = 6
        await trio.sleep(4)
        assert follower.configuration.revision == 6
        assert follower.state() is STATE.CONFIRMED
        nursery.cancel_scope.cancel()


async def test_replica_behind_the_gossip_is_left(autojump_clock):
    # A replica that claims a quorum but lags must not hold the entry back.
    lagging, other = Replica(5), Replica(9)
    revisions = [0]
    async with trio.open_nursery() as nursery:
        source = Replicas(lagging, other)
        follower = follow(nursery, source, lambda: revisions[0])
        await trio.sleep(4)
        assert follower.configuration.revision == 5
        revisions[0] = 9
        await trio.sleep(2)
        assert follower.configuration.revision == 9
        nursery.cancel_scope.cancel()


async def test_older_revision_is_not_taken_and_confirms_nothing(
    autojump_clock,
):
    fresh, old = Replica(9), Replica(4)
    async with trio.open_nursery() as nursery:
        source = Replicas(fresh, old)
        follower = follow(nursery, source)
        await trio.sleep(1)
        fresh.reachable = False
        await trio.sleep(20)
        assert old.answers
        assert follower.configuration.revision == 9
        assert follower.state() is STATE.DETACHED
        nursery.cancel_scope.cancel()
