"""Detection and removal of silent upstreams and entries."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Protocol

import trio

from guavapulley import consensus
from guavapulley import model
from guavapulley import ports
from guavapulley.fleet import _machine

REPORT_INTERVAL_S = 0.7
# Four renewal intervals of an upstream and some delay.
UPSTREAM_EXPIRY_S = 7.0
# Entries watch at least once a second. The time is short because lookups must
# not return an entry for long after it has stopped.
NODE_EXPIRY_S = 3.5
# When a greater fraction of the upstreams of a service is silent at once, the
# reports have probably stopped rather than the upstreams, so none is removed. A
# single silent upstream is always removed.
MAX_EXPIRED_FRACTION = 0.5


class Proposer(Protocol):
    """The part of `FleetService` that `LivenessTracker` uses."""

    replica: consensus.Replica
    machine: _machine.FleetStateMachine
    events: ports.EventLog
    clients: ports.PeerClientPool

    async def propose_as_leader(
        self, command: model.FleetCommand
    ) -> model.FleetVerdict:
        """Proposes a command that only the current leader may decide on.

        Raises:
            ConsensusError: This replica does not lead, or the command was not
                committed in time.
        """


class LivenessTracker:
    """Tracks contacts of upstreams and entries; the leader removes silent ones.

    Every replica reports its contacts to the leader. A new leader waits a whole
    expiry time before it removes anything, because it does not know the
    contacts of the other replicas.

    Args:
        service: Proposes commands and holds the fleet state.

    Attributes:
        unreported_upstreams: Names of upstreams that renewed at this replica
            since its last report.
        unreported_nodes: Names of entries that watched this replica since its
            last report.
        upstream_contact_s: Time of the last known contact of each upstream, on
            trio's clock.
        node_contact_s: Time of the last known contact of each entry, on trio's
            clock.
        known_incarnations: Names and incarnations in the fleet state when it
            was last checked.
        leading_since_s: Time at which this replica was first seen to lead, on
            trio's clock; None while it does not lead.
    """

    def __init__(self, service: Proposer) -> None:
        self.service = service
        self.unreported_upstreams: set[str] = set()
        self.unreported_nodes: set[str] = set()
        self.upstream_contact_s: dict[str, float] = {}
        self.node_contact_s: dict[str, float] = {}
        self.known_incarnations: set[tuple[str, int | str]] = set()
        self.leading_since_s: float | None = None

    def record_upstream(self, name: str) -> None:
        """Records the renewal of an upstream at this replica."""
        self.unreported_upstreams.add(name)

    def record_node(self, name: str) -> None:
        """Records the watch of an entry at this replica."""
        self.unreported_nodes.add(name)

    def record_contacts(
        self, upstreams: Iterable[str], nodes: Iterable[str]
    ) -> None:
        """Sets the last contact of the named upstreams and entries to now."""
        now_s = trio.current_time()
        self.upstream_contact_s.update(dict.fromkeys(upstreams, now_s))
        self.node_contact_s.update(dict.fromkeys(nodes, now_s))

    async def run(self) -> None:
        """Reports contacts, or expires silent names, until cancelled."""
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            leadership = self.service.replica.leadership()
            if leadership.is_leader:
                await self._expire_silent()
            else:
                self.leading_since_s = None
                if leadership.leader is not None:
                    await self._report(leadership.leader)

    async def _report(self, leader: model.NodeAddress) -> None:
        report = model.ReportHeard(
            tuple(self.unreported_upstreams), tuple(self.unreported_nodes)
        )
        if not report.upstreams and not report.nodes:
            return
        self.unreported_upstreams.clear()
        self.unreported_nodes.clear()
        try:
            await self.service.clients.client(leader).call(
                report, REPORT_INTERVAL_S
            )
        except ports.PeerError as error:
            self.unreported_upstreams.update(report.upstreams)
            self.unreported_nodes.update(report.nodes)
            self.service.events.write("fleet:report_failed", code=error.code)

    async def _expire_silent(self) -> None:
        now_s = trio.current_time()
        if self.leading_since_s is None:
            self.leading_since_s = now_s
        self.record_contacts(self.unreported_upstreams, self.unreported_nodes)
        self.unreported_upstreams.clear()
        self.unreported_nodes.clear()
        self._drop_old_contacts()
        state = self.service.machine.state
        self._record_new_incarnations(state)
        removals: list[model.RemoveUpstream | model.RemoveNode] = [
            *self._silent_upstreams(state),
            *self._silent_nodes(state),
        ]
        for command in removals:
            self.service.events.write(
                "fleet:expires", name=_removed_name(command)
            )
            try:
                # A new leader must not apply this removal: it may know of a
                # later contact.
                await self.service.propose_as_leader(command)
            except consensus.ConsensusError as error:
                self.service.events.write(
                    "fleet:expiry_failed", code=error.code
                )
                return

    def _record_new_incarnations(self, state: model.FleetState) -> None:
        """Records a contact for each incarnation that is new in the state.

        The replica that was contacted may report the contact only later.
        """
        upstreams = {(r.upstream, r.incarnation) for r in state.upstreams}
        nodes = {(node.name, node.incarnation) for node in state.nodes}
        self.record_contacts(
            (name for name, _ in upstreams - self.known_incarnations),
            (name for name, _ in nodes - self.known_incarnations),
        )
        self.known_incarnations = {*upstreams, *nodes}

    def _drop_old_contacts(self) -> None:
        """Drops contacts older than the expiry time, which have no effect."""
        now_s = trio.current_time()
        self.upstream_contact_s = _contacts_since(
            self.upstream_contact_s, now_s - UPSTREAM_EXPIRY_S
        )
        self.node_contact_s = _contacts_since(
            self.node_contact_s, now_s - NODE_EXPIRY_S
        )

    def _last_contact_s(self, contact_s: dict[str, float], name: str) -> float:
        return max(contact_s.get(name, 0.0), self.leading_since_s or 0.0)

    def _silent_upstreams(
        self, state: model.FleetState
    ) -> Iterator[model.RemoveUpstream]:
        oldest_s = trio.current_time() - UPSTREAM_EXPIRY_S
        for service in {record.service for record in state.upstreams}:
            members = [r for r in state.upstreams if r.service == service]
            silent = [
                r
                for r in members
                if self._last_contact_s(self.upstream_contact_s, r.upstream)
                < oldest_s
            ]
            if len(silent) <= max(1, len(members) * MAX_EXPIRED_FRACTION):
                yield from (
                    model.RemoveUpstream(r.upstream, r.incarnation, False)
                    for r in silent
                )

    def _silent_nodes(
        self, state: model.FleetState
    ) -> Iterator[model.RemoveNode]:
        oldest_s = trio.current_time() - NODE_EXPIRY_S
        return (
            model.RemoveNode(node.name, node.incarnation)
            for node in state.nodes
            if self._last_contact_s(self.node_contact_s, node.name) < oldest_s
        )


def _contacts_since(
    contact_s: dict[str, float], start_s: float
) -> dict[str, float]:
    """Returns the contacts that are not older than `start_s`."""
    return {
        name: time_s for name, time_s in contact_s.items() if time_s >= start_s
    }


def _removed_name(command: model.RemoveUpstream | model.RemoveNode) -> str:
    if isinstance(command, model.RemoveUpstream):
        return command.upstream
    return command.name
