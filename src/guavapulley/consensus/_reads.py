"""Linearizable reads at any replica."""

from collections.abc import Callable

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.consensus import _errors
from guavapulley.consensus import _replica


async def await_read_barrier(
    replica: _replica.Replica,
    client: Callable[[model.NodeAddress], ports.PeerClient],
    timeout_s: float,
) -> None:
    """Waits until a replica has applied all commands committed before the call.

    A later read of the state machine is then linearizable. A follower asks the
    leader for its commit index; the leader first confirms with a majority that
    it still leads (Ongaro, 6.4).

    Args:
        replica: The replica to read from.
        client: Returns the client for a peer address.
        timeout_s: Timeout in seconds, once for the reply of the leader and
            once for catching up.

    Raises:
        ConsensusError: No leader is known, no majority confirmed it in time,
            or the replica did not catch up in time.
    """
    leadership = replica.leadership()
    if leadership.is_leader:
        await replica.read_index(timeout_s)
        return
    if leadership.leader is None:
        raise _errors.NoQuorumError("no leader is known", appended=False)
    index = await _fetch_read_index(client(leadership.leader), timeout_s)
    with trio.move_on_after(timeout_s):
        await replica.wait_applied(index)
        return
    raise _errors.NoQuorumError(
        "the replica did not catch up with the leader in time", appended=False
    )


async def _fetch_read_index(client: ports.PeerClient, timeout_s: float) -> int:
    try:
        reply = await client.call(model.ReadIndex(), timeout_s)
    except ports.PeerError as error:
        raise _errors.NoQuorumError(
            f"the leader did not confirm the read: {error.message}",
            appended=False,
        ) from error
    if not isinstance(reply, model.ReadIndexReply):
        raise _errors.NoQuorumError(
            "the leader sent an unexpected reply", appended=False
        )
    return reply.index
