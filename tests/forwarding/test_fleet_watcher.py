"""Guards against entries whose work grows with each single change."""

import trio

from guavapulley import forwarding
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import codec

MESSAGES = codec.MessageCodec()
REPLICA = model.NodeAddress("core-1", 7)
STATUS = model.ReplicaStatus(
    None, "leader", 1, REPLICA, 0, 0, 0, 0, 0.0, model.ReplicaSet()
)
CHANGE_INTERVAL_S = 0.02


class ChangingReplica:
    """A replica whose state changes every `CHANGE_INTERVAL_S`."""

    def __init__(self):
        self.watches = 0

    def dial(self, address):
        return self

    async def call(self, request, timeout_s):
        if not isinstance(request, model.WatchFleet):
            return STATUS
        self.watches += 1
        if self.index() <= request.after:
            await trio.sleep(CHANGE_INTERVAL_S)
        domains = range(request.after, self.index())
        changes = tuple(model.SetEvacuation(f"d{i}", True) for i in domains)
        content = MESSAGES.encode(model.FleetChanges(None, changes))
        return model.FleetUpdate(self.index(), content, 0.0, (REPLICA,))

    def index(self):
        return int(trio.current_time() / CHANGE_INTERVAL_S)


async def test_frequent_changes_are_applied_together_and_in_time(
    autojump_clock, nursery
):
    replica = ChangingReplica()
    watcher = forwarding.FleetWatcher(
        replica, lambda: [REPLICA], lambda: None, MESSAGES, ports.NullEventLog()
    )
    applied = []
    watcher.on_change = applied.append
    nursery.start_soon(watcher.run)
    await trio.sleep(10)
    behind_s = (replica.index() - watcher.state.index) * CHANGE_INTERVAL_S
    assert len(applied) <= replica.watches <= 42
    assert behind_s <= 0.3
    assert len(watcher.state.evacuated) == watcher.state.index
    nursery.cancel_scope.cancel()
