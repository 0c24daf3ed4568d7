"""Membership changes: the replica set changes by one member at a time."""

from collections.abc import Callable

import attrs

from guavapulley import model
from guavapulley.consensus import _leader_term


def _replica_set(
    members: tuple[model.ReplicaMember, ...],
) -> model.ReplicaSet:
    return model.ReplicaSet(members)


def add_learner(
    replicas: model.ReplicaSet, request: model.JoinCluster
) -> model.ReplicaSet | None:
    """Returns a replica set with the joining replica as a learner.

    A learner with the same name is removed: the VM must have lost its disk
    again before that learner became a voter.

    Args:
        replicas: Current replica set.
        request: Request of the joining replica.

    Returns:
        The changed set, or None if the replica already is a member.
    """
    if any(m.replica_id == request.replica_id for m in replicas.members):
        return None
    kept = (m for m in replicas.members if m.voter or m.name != request.name)
    learner = model.ReplicaMember(
        request.replica_id, request.name, request.address, voter=False
    )
    return _replica_set((*kept, learner))


def next_replica_set(
    replicas: model.ReplicaSet,
    own_id: str,
    is_caught_up: Callable[[model.ReplicaMember], bool],
    is_silent: Callable[[model.ReplicaMember], bool] = lambda member: False,
    max_voters: int | None = None,
) -> model.ReplicaSet | None:
    """Returns the replica set that a leader should append next.

    Of two voters with the same name, the older one is removed first. Next, a
    silent voter is removed if there are more than `max_voters`. Otherwise a
    learner that has caught up is promoted to voter if it is needed. A voter is
    added before the one that it replaces is removed, so that an acknowledged
    entry is never on fewer disks than promised.

    Args:
        replicas: Current replica set; its members are in the order in which
            they were admitted.
        own_id: Replica ID of the leader, which never removes itself.
        is_caught_up: Returns whether a learner has caught up with the log.
        is_silent: Returns whether a voter has not answered for too long.
        max_voters: Target number of voters; None makes every learner a voter.

    Returns:
        The changed set, or None if no change is needed.
    """
    voters = _leader_term.voters(replicas)
    newest_ids = {m.name: m.replica_id for m in voters}
    for member in voters:
        if newest_ids[member.name] != member.replica_id != own_id:
            return _replica_set(
                tuple(m for m in replicas.members if m != member)
            )
    silent_voters = [
        m for m in voters if m.replica_id != own_id and is_silent(m)
    ]
    if max_voters is not None and len(voters) > max_voters and silent_voters:
        return _replica_set(
            tuple(m for m in replicas.members if m != silent_voters[0])
        )
    voter_names = {m.name for m in voters}
    for member in replicas.members:
        promotable = (
            max_voters is None
            or len(voters) < max_voters
            or (len(voters) == max_voters and bool(silent_voters))
            or member.name in voter_names
        )
        if not member.voter and promotable and is_caught_up(member):
            voter = attrs.evolve(member, voter=True)
            return _replica_set(
                tuple(voter if m == member else m for m in replicas.members)
            )
    return None
