"""Publication of this entry's state by gossip."""

import trio

from guavapulley import model
from guavapulley.serving import _configuration
from guavapulley.serving import _protocols

# Half of the gossip interval.
PUBLISH_INTERVAL_S = 0.25

_ENTRY_STATES = {
    _configuration.ConfigurationState.UNCONFIRMED: model.EntryState.STARTING,
    _configuration.ConfigurationState.CONFIRMED: model.EntryState.ALIVE,
    _configuration.ConfigurationState.DETACHED: model.EntryState.DETACHED,
}


async def publish_state(
    watcher: _configuration.ConfigurationWatcher,
    steerer: _protocols.Steerer,
    member: _protocols.Member,
) -> None:
    """Updates the gossiped record of this entry until cancelled.

    The record receives the state, the revision in force, the number of
    requests in flight, and the claimed slots. The task must be cancelled
    before the entry leaves, because it would overwrite the state `LEAVING`.

    Args:
        watcher: Provides the state and the revision.
        steerer: Provides the requests in flight and the claimed slots.
        member: Receives the values.
    """
    while True:
        member.set_state(_ENTRY_STATES[watcher.state()])
        revision = watcher.configuration.revision
        member.set_status(revision, steerer.in_flight(), steerer.claims())
        await trio.sleep(PUBLISH_INTERVAL_S)
