"""Guards against the use of a stale configuration as the current one."""

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley import serving


class Replica:
    """A control replica that can be partitioned from clients and quorum."""

    def __init__(self, revision):
        self.revision = revision
        self.confirmed = True
        self.reachable = True
        self.replies = 0

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
        self.replies += 1
        newer = self.revision > request.after
        configuration = model.Configuration(self.revision) if newer else None
        return model.WatchReply(configuration, self.revision, self.confirmed)


class Replicas:
    """`serving.ConfigurationSource` over several replicas."""

    def __init__(self, *replicas):
        self.replicas = replicas
        self.selected = 0

    async def watch(self, request):
        return await self.replicas[self.selected].watch(request)

    def switch_replica(self):
        self.selected = (self.selected + 1) % len(self.replicas)


def start_watcher(nursery, source, gossiped_revision=lambda: 0):
    watcher = serving.ConfigurationWatcher(
        "e1", source, gossiped_revision, ports.NullEventLog()
    )
    nursery.start_soon(watcher.run)
    return watcher


STATE = serving.ConfigurationState


async def test_entry_is_unconfirmed_until_a_majority_confirms(
    autojump_clock,
):
    stale, current = Replica(3), Replica(7)
    stale.confirmed = False
    current.reachable = False
    async with trio.open_nursery() as nursery:
        watcher = start_watcher(nursery, Replicas(stale, current))
        await trio.sleep(5)
        assert watcher.state() is STATE.UNCONFIRMED
        current.reachable = True
        await watcher.ready.wait()
        assert watcher.configuration.revision == 7
        await trio.sleep(30)
        assert watcher.state() is STATE.CONFIRMED
        nursery.cancel_scope.cancel()


async def test_change_is_applied_within_two_seconds(autojump_clock):
    replica = Replica(1)
    async with trio.open_nursery() as nursery:
        watcher = start_watcher(nursery, Replicas(replica))
        await watcher.ready.wait()
        for revision in range(2, 30):
            replica.revision = revision
            await trio.sleep(0.2)
            assert watcher.configuration.revision == revision
        nursery.cancel_scope.cancel()


async def test_partitioned_entry_detaches_after_the_lease(autojump_clock):
    replica = Replica(1)
    async with trio.open_nursery() as nursery:
        watcher = start_watcher(nursery, Replicas(replica))
        await trio.sleep(21)
        replica.reachable = False
        await trio.sleep(serving.CONFIGURATION_LEASE_S - 2.5)
        assert watcher.state() is STATE.CONFIRMED
        await trio.sleep(2.6)
        assert watcher.state() is STATE.DETACHED
        replica.reachable, replica.revision = True, 2
        await trio.sleep(3)
        assert watcher.state() is STATE.CONFIRMED
        assert watcher.configuration.revision == 2
        nursery.cancel_scope.cancel()


async def test_entry_switches_from_a_replica_without_quorum(autojump_clock):
    # The isolated replica still replies, but without a quorum. The entry must
    # neither stay confirmed by it nor miss the change at another replica.
    isolated, other = Replica(5), Replica(5)
    async with trio.open_nursery() as nursery:
        watcher = start_watcher(nursery, Replicas(isolated, other))
        await trio.sleep(4)
        isolated.confirmed = False
        other.revision = 6
        await trio.sleep(4)
        assert watcher.configuration.revision == 6
        assert watcher.state() is STATE.CONFIRMED
        nursery.cancel_scope.cancel()


async def test_entry_switches_from_a_replica_behind_the_gossiped_revision(
    autojump_clock,
):
    # A replica that reports a quorum but lags must not keep the entry on an
    # old revision.
    lagging, other = Replica(5), Replica(9)
    revisions = [0]
    async with trio.open_nursery() as nursery:
        source = Replicas(lagging, other)
        watcher = start_watcher(nursery, source, lambda: revisions[0])
        await trio.sleep(4)
        assert watcher.configuration.revision == 5
        revisions[0] = 9
        await trio.sleep(2)
        assert watcher.configuration.revision == 9
        nursery.cancel_scope.cancel()


async def test_older_revision_is_neither_applied_nor_a_confirmation(
    autojump_clock,
):
    current, old = Replica(9), Replica(4)
    async with trio.open_nursery() as nursery:
        source = Replicas(current, old)
        watcher = start_watcher(nursery, source)
        await trio.sleep(1)
        current.reachable = False
        await trio.sleep(20)
        assert old.replies
        assert watcher.configuration.revision == 9
        assert watcher.state() is STATE.DETACHED
        nursery.cancel_scope.cancel()
