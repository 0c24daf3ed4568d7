"""Changes of the replica set, one member at a time."""

from collections.abc import Callable

import attrs

from guavapulley import model
from guavapulley.consensus import _leadership


def _with(
    members: tuple[model.ReplicaMember, ...],
) -> model.ReplicaSet:
    return model.ReplicaSet(members)


def admitted(
    replicas: model.ReplicaSet, request: model.JoinCluster
) -> model.ReplicaSet | None:
    """Returns the replica set with a joining replica as learner.

    A learner of the same name is dropped: its VM lost its disk again before it
    became a voter.

    Args:
        replicas: Replica set in force.
        request: The joining replica.

    Returns:
        The changed set, or None when the replica is a member already.
    """
    if any(m.replica_id == request.replica_id for m in replicas.members):
        return None
    kept = (m for m in replicas.members if m.voter or m.name != request.name)
    learner = model.ReplicaMember(
        request.replica_id, request.name, request.address, voter=False
    )
    return _with((*kept, learner))


def next_change(
    replicas: model.ReplicaSet,
    own_id: str,
    caught_up: Callable[[model.ReplicaMember], bool],
) -> model.ReplicaSet | None:
    """Returns the next replica set that a leader should establish.

    Removes the older voter of two with the same name first; otherwise makes a
    learner that has caught up a voter. Members are in the order of admission.

    Args:
        replicas: Replica set in force.
        own_id: Replica ID of the leader, which never removes itself.
        caught_up: Whether a learner has caught up.

    Returns:
        The changed set, or None when there is nothing to do.
    """
    newest = {m.name: m.replica_id for m in _leadership.voters(replicas)}
    for member in _leadership.voters(replicas):
        if newest[member.name] != member.replica_id != own_id:
            return _with(tuple(m for m in replicas.members if m != member))
    for member in replicas.members:
        if not member.voter and caught_up(member):
            voter = attrs.evolve(member, voter=True)
            return _with(
                tuple(voter if m == member else m for m in replicas.members)
            )
    return None
