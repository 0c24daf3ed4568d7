"""Node with a disk: log, upstreams' and operators' calls, look-ups."""

from collections.abc import Callable
import contextlib
import random

import attrs
import trio

from guavapulley import consensus
from guavapulley import fleet
from guavapulley import ports
from guavapulley.adapters import codec
from guavapulley.adapters import disk
from guavapulley.adapters import http1
from guavapulley.adapters import stream
from guavapulley.nodes import _process
from guavapulley.nodes import _settings

# Seeds change with the settings, replicas with the log.
SEEDS_INTERVAL_S = 0.3
# After a loss of power nobody leads, and nothing is decided or served until a
# replica does. A running leader is heard of after its heartbeat of 0.25 s.
FIRST_ELECTION_MIN_S = 0.3
FIRST_ELECTION_MAX_S = 0.9


@attrs.frozen
class CoreApi:
    """Calls from outside, in the platform's terms.

    Attributes:
        control: Makes the handler of upstreams' and operators' calls.
        directory: Makes the handler of look-ups.
    """

    control: Callable[
        [fleet.FleetService, _settings.NodeSettings], http1.AnswerHandler
    ]
    directory: Callable[
        [fleet.FleetService, _settings.NodeSettings], http1.AnswerHandler
    ]


def _required_voters(settings: _settings.NodeSettings) -> int:
    """Returns the voters with which the wanted number of disks may be lost."""
    return 2 * settings.lost_disks + 1


class CoreNode:
    """One control replica with the calls from outside.

    Args:
        node: Adapters and settings.
        store: Durable log.
        api: Calls from outside.
    """

    def __init__(
        self, node: _process.Node, store: ports.LogStore, api: CoreApi
    ) -> None:
        self.node = node
        self.api = api
        settings = node.settings
        machine = fleet.FleetStateMachine(node.messages)
        voters = _required_voters(settings)
        self.replica = consensus.Replica(
            settings.name,
            settings.peer,
            settings.seeds,
            store,
            node.dialer,
            node.messages,
            machine,
            node.events,
            node.metrics,
            random.Random(),
            consensus.ConsensusSettings(
                max_voters=voters,
                join_interval_s=0.2,
                first_election_min_s=FIRST_ELECTION_MIN_S,
                first_election_max_s=FIRST_ELECTION_MAX_S,
            ),
        )
        self.service = fleet.FleetService(
            self.replica,
            machine,
            node.messages,
            node.dialer,
            node.events,
            voters,
        )

        node.metrics.current = self._gauges

    def _gauges(self) -> dict[str, float]:
        """Returns the gauges of the moment."""
        status = self.replica.status()
        state = self.service.machine.state
        return {
            "log_index.last": status.last_index,
            "log_index.committed": status.commit_index,
            "log_index.applied": status.applied_index,
            "replica_term.current": status.term,
            "replica_leads.now": status.role == "leader",
            "replica_quorum_age_seconds.now": status.quorum_age_s,
            "replica_voters.now": sum(
                member.voter for member in status.replicas.members
            ),
            "fleet_version.routing": state.routing.version,
            "upstreams_known.all": len(state.upstreams),
            "entries_known.all": len(state.nodes),
        }

    async def run(self) -> None:
        """Serves until the node is to stop."""
        node, settings = self.node, self.node.settings
        await node.nursery.start(self.replica.run)
        await node.nursery.start(self._serve_peers)
        node.nursery.start_soon(self.service.run)
        node.nursery.start_soon(self._follow_seeds)
        if self._founds():
            await self.replica.create_cluster(peers_may_be_down=True)
        await node.serve(
            settings.control, self.api.control(self.service, settings)
        )
        await node.serve(
            settings.directory, self.api.directory(self.service, settings)
        )
        await node.serve(settings.metrics, node.metrics)
        node.events.write("core:started")
        await node.wait_to_stop()
        node.events.write("core:stopping")

    async def _serve_peers(self, task_status: trio.TaskStatus[None]) -> None:
        await stream.serve_stream_peers(
            self.node.settings.peer,
            self.service,
            self.node.messages,
            self.node.events,
            task_status=task_status,
        )

    def _founds(self) -> bool:
        """Returns whether this replica creates the cluster.

        At the first start all nodes have the same seeds, so the first of them
        is the only founder. It has an empty disk then.
        """
        settings = self.node.settings
        return (
            settings.first_start
            and self.replica.status().identity is None
            and settings.peer == min(settings.seeds, key=str)
        )

    async def _follow_seeds(self) -> None:
        """Has the replica ask the replicas that the settings name now."""
        while True:
            known = self.replica.status().replicas.members
            self.replica.state.peers = tuple(
                dict.fromkeys(
                    (
                        *self.node.settings.seeds,
                        *(member.address for member in known),
                    )
                )
            )
            await trio.sleep(SEEDS_INTERVAL_S)


async def run_core(load: _process.Loader, api: CoreApi) -> None:
    """Runs a control replica.

    Args:
        load: Reads the settings.
        api: Calls from outside.

    Raises:
        ConsensusError: The disk failed or is damaged.
    """
    messages = codec.MessageCodec(fleet.CODEC_TYPES)
    async with _process.opened_node(load, messages) as node:
        folder = node.settings.data_folder
        if folder is None:
            raise ValueError("a control replica needs a data folder")
        with contextlib.closing(disk.DataFolder(folder, messages)) as files:
            store = disk.TimedStore(files, node.events, node.metrics)
            node.nursery.start_soon(store.watch)
            await CoreNode(node, store, api).run()
