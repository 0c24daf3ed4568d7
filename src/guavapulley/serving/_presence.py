"""Tells the other entries the state of this one."""

import trio

from guavapulley import model
from guavapulley.serving import _follower
from guavapulley.serving import _protocols

# Twice within a round of gossip.
PRESENCE_INTERVAL_S = 0.25

_STATES = {
    _follower.FollowerState.UNCONFIRMED: model.EntryState.STARTING,
    _follower.FollowerState.CONFIRMED: model.EntryState.ALIVE,
    _follower.FollowerState.DETACHED: model.EntryState.DETACHED,
}


async def mirror_state(
    follower: _follower.ConfigurationFollower,
    steerer: _protocols.Steerer,
    member: _protocols.Member,
) -> None:
    """Copies state, revision, counts and claims to the gossiped record.

    It is cancelled when the entry begins to leave.
    """
    while True:
        member.set_state(_STATES[follower.state()])
        revision = follower.configuration.revision
        member.set_status(revision, steerer.in_flight(), steerer.claims())
        await trio.sleep(PRESENCE_INTERVAL_S)
