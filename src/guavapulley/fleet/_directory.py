"""Selection of the entries nearest to a caller."""

from collections.abc import Iterator

from guavapulley import model

MAX_ADDRESSES = 64


def nearest_entries(
    state: model.FleetState, region: str, failure_domain: str
) -> tuple[model.NodeAddress, ...]:
    """Returns the addresses of the entries nearest to a caller.

    Traffic between failure domains is expensive and adds delay, so entries
    further away are returned only when there are none nearer. Entries that do
    not accept callers are returned only when none accepts.

    Args:
        state: Fleet state.
        region: Region of the caller.
        failure_domain: Failure domain of the caller.

    Returns:
        At most `MAX_ADDRESSES` addresses; empty without any entry.
    """
    return next(
        (
            addresses
            for addresses in _address_tiers(state, region, failure_domain)
            if addresses
        ),
        (),
    )


def _address_tiers(
    state: model.FleetState, region: str, failure_domain: str
) -> Iterator[tuple[model.NodeAddress, ...]]:
    """Yields the addresses of the entries of each tier, nearest tier first."""
    nodes = [node for node in state.nodes if node.accepting]
    tiers = (
        [node for node in nodes if node.failure_domain == failure_domain],
        [node for node in nodes if node.region == region],
        nodes,
        state.nodes,
    )
    for tier in tiers:
        yield tuple(node.address for node in tier)[:MAX_ADDRESSES]
