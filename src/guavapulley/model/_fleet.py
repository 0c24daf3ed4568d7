"""The replicated fleet state, its commands and its messages.

The state consists of the routing table, the evacuated failure domains, the
upstreams and the nodes. Entries keep a copy of it up to date.
"""

from collections.abc import Iterable
from typing import TypeVar

import attrs

from guavapulley.model import _routing
from guavapulley.model import _upstreams

T = TypeVar("T")


@attrs.frozen
class NodeRecord:
    """An entry that accepts requests from callers.

    Attributes:
        name: Name of the VM.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        address: Address to which callers connect.
        incarnation: Random ID generated at the start of the process, which
            distinguishes restarts.
        accepting: Whether callers should connect to the entry.
    """

    name: str
    region: str
    failure_domain: str
    address: _upstreams.NodeAddress
    incarnation: str
    accepting: bool = True


@attrs.frozen
class RecordUpstream:
    """Adds an upstream that announced itself, or replaces its record."""

    record: _upstreams.UpstreamRecord


@attrs.frozen
class RemoveUpstream:
    """Removes an upstream that has left or expired.

    Attributes:
        upstream: Name of the upstream.
        incarnation: Incarnation to remove; None for any.
        final: Whether later renewals of this incarnation are ignored.
    """

    upstream: str
    incarnation: int | None
    final: bool


@attrs.frozen
class RecordNode:
    """Adds an entry that has started, or replaces its record.

    Attributes:
        node: Record of the entry.
        base_index: Log index of the state that the entry knew when it sent the
            record. A later change of its record rejects the command; None for
            no check.
    """

    node: NodeRecord
    base_index: int | None = None


@attrs.frozen
class RemoveNode:
    """Removes an entry that has left or is lost."""

    name: str
    incarnation: str


@attrs.frozen
class SetEvacuation:
    """Evacuates a failure domain, or lets it receive requests again.

    Attributes:
        failure_domain: The failure domain.
        evacuated: Whether it shall receive no requests.
        base_index: Log index of a state that a replica had while the operator
            waited. A later command about the failure domain rejects this one;
            None for no check.
    """

    failure_domain: str
    evacuated: bool
    base_index: int | None = None


@attrs.frozen
class ChangeRouting:
    """Applies an operator's change to the routing table."""

    change: _routing.RoutingChange


FleetCommand = (
    RecordUpstream
    | RemoveUpstream
    | RecordNode
    | RemoveNode
    | SetEvacuation
    | ChangeRouting
)


@attrs.frozen
class FleetVerdict:
    """The result of a fleet command.

    Attributes:
        accepted: Whether the command was applied.
        conflict: Whether the command was rejected because it is based on
            another version.
        version: Version of the routing table after the command.
        message: Reason if the command was not accepted.
    """

    accepted: bool
    conflict: bool = False
    version: int = 0
    message: str = ""


@attrs.frozen
class FleetState:
    """The fleet state at one log index.

    Attributes:
        index: Log index.
        routing: Routing table.
        evacuated: Failure domains that receive no requests.
        upstreams: Records of the announced upstreams.
        nodes: Records of the entries.
    """

    index: int = 0
    routing: _routing.RoutingTable = _routing.RoutingTable()
    evacuated: tuple[str, ...] = ()
    upstreams: tuple[_upstreams.UpstreamRecord, ...] = ()
    nodes: tuple[NodeRecord, ...] = ()


@attrs.frozen
class ProposeCommand:
    """Asks the leader to append a command; answered by a `FleetVerdict`."""

    command: FleetCommand


@attrs.frozen
class ReportHeard:
    """Reports to the leader which upstreams and entries contacted a replica.

    Attributes:
        upstreams: Names of upstreams that renewed since the last report.
        nodes: Names of entries that sent a watch since the last report.
    """

    upstreams: tuple[str, ...]
    nodes: tuple[str, ...]


@attrs.frozen
class Acknowledged:
    """Answer without content to a message."""


@attrs.frozen
class WatchFleet:
    """Waits for a newer fleet state.

    Attributes:
        node: Record of the requesting entry; None for other processes.
        after: Log index of the state that the requester has; 0 for none.
        wait_s: Maximum wait for a newer state, in seconds.
    """

    node: NodeRecord | None
    after: int
    wait_s: float


@attrs.frozen
class FleetChanges:
    """What the requester of a `WatchFleet` does not have yet.

    Attributes:
        state: The complete state if the replica no longer has the changes,
            else None.
        changes: Accepted commands after the index of the requester, in order.
    """

    state: FleetState | None
    changes: tuple[FleetCommand, ...]


@attrs.frozen
class FleetUpdate:
    """Answer to `WatchFleet`.

    Attributes:
        index: Log index of the state after this update.
        encoded_changes: Encoded `FleetChanges`, so that a replica encodes them
            once for all entries; empty if there are none.
        quorum_age_s: Seconds since a quorum last confirmed the applied state of
            the replica.
        replicas: Peer addresses of the control replicas.
    """

    index: int
    encoded_changes: bytes
    quorum_age_s: float
    replicas: tuple[_upstreams.NodeAddress, ...] = ()


def apply_fleet_commands(
    state: FleetState, commands: Iterable[FleetCommand]
) -> FleetState:
    """Returns the state after accepted commands, with its index unchanged.

    Fields of the state that no command changes stay the same objects.
    """
    upstreams = _UpstreamTable(state.upstreams)
    nodes = {node.name: node for node in state.nodes}
    for command in commands:
        match command:
            case RecordUpstream(record):
                upstreams.record(record)
            case RemoveUpstream(name):
                upstreams.remove(name)
            case RecordNode(node):
                nodes.pop(node.name, None)
                nodes[node.name] = node
            case RemoveNode(name):
                nodes.pop(name, None)
            case SetEvacuation(domain, evacuated):
                state = _set_evacuation(state, domain, evacuated=evacuated)
            case ChangeRouting(routing):
                table = _routing.apply_routing_change(state.routing, routing)
                state = attrs.evolve(state, routing=table)
    return attrs.evolve(
        state,
        upstreams=_keep_if_equal(state.upstreams, upstreams.records.values()),
        nodes=_keep_if_equal(state.nodes, nodes.values()),
    )


def _keep_if_equal(
    previous: tuple[T, ...], items: Iterable[T]
) -> tuple[T, ...]:
    """Returns the items, as the previous tuple if it has the same ones."""
    current = tuple(items)
    return previous if current == previous else current


class _UpstreamTable:
    """Records of upstreams by name and by address; an address has one record.

    Attributes:
        records: Records by name of the upstream, in the order of their changes.
    """

    def __init__(self, records: Iterable[_upstreams.UpstreamRecord]) -> None:
        self.records = {record.upstream: record for record in records}
        self.names = {
            record.address: record.upstream for record in self.records.values()
        }

    def record(self, record: _upstreams.UpstreamRecord) -> None:
        """Adds a record, or replaces those of the same name or address."""
        self.remove(record.upstream)
        self.remove(self.names.get(record.address, ""))
        self.records[record.upstream] = record
        self.names[record.address] = record.upstream

    def remove(self, name: str) -> None:
        """Removes a record, if there is one."""
        removed = self.records.pop(name, None)
        if removed is not None:
            del self.names[removed.address]


def _set_evacuation(
    state: FleetState, domain: str, *, evacuated: bool
) -> FleetState:
    other_domains = (item for item in state.evacuated if item != domain)
    added = (domain,) if evacuated else ()
    return attrs.evolve(state, evacuated=(*other_domains, *added))


def apply_fleet_command(state: FleetState, command: FleetCommand) -> FleetState:
    """Returns the state after an accepted command, with its index unchanged."""
    return apply_fleet_commands(state, (command,))
