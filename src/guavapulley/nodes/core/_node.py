"""Core node: a control replica for upstreams, operators and lookups."""

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

# The peers are polled because seeds change with the settings and members with
# the log.
PEERS_UPDATE_INTERVAL_S = 0.3
# After a power failure there is no leader, and no command or read succeeds
# until one is elected. The first election is therefore early, but later than
# the heartbeat of a running leader, which comes every 0.25 s.
FIRST_ELECTION_MIN_S = 0.3
FIRST_ELECTION_MAX_S = 0.9


@attrs.frozen
class CoreApi:
    """Factories of the HTTP handlers that translate the platform's calls.

    Attributes:
        control: Makes the handler of calls of upstreams and operators.
        directory: Makes the handler of lookups.
    """

    control: Callable[
        [fleet.FleetService, _settings.NodeSettings], http1.AnswerHandler
    ]
    directory: Callable[
        [fleet.FleetService, _settings.NodeSettings], http1.AnswerHandler
    ]


def _required_voters(settings: _settings.NodeSettings) -> int:
    """Returns the number of voters that tolerates the loss of disks."""
    return 2 * settings.max_lost_disks + 1


class CoreNode:
    """A control replica with its HTTP servers.

    Args:
        node: Adapters and settings.
        store: Durable log.
        api: Factories of the HTTP handlers.
    """

    def __init__(
        self, node: _process.Node, store: ports.LogStore, api: CoreApi
    ) -> None:
        self.node = node
        self.api = api
        settings = node.settings
        machine = fleet.FleetStateMachine(node.message_codec)
        voters = _required_voters(settings)
        self.replica = consensus.Replica(
            settings.name,
            settings.peer_address,
            settings.seeds,
            store,
            node.dialer,
            node.message_codec,
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
            node.message_codec,
            node.dialer,
            node.events,
            voters,
        )

        node.metrics.read_gauges = self._gauges

    def _gauges(self) -> dict[str, float]:
        """Returns the current values of the gauges."""
        status = self.replica.status()
        state = self.service.machine.state
        return {
            "log_bytes.memory": self.replica.state.log.payload_bytes,
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
        """Serves until a signal to stop arrives."""
        node, settings = self.node, self.node.settings
        await node.nursery.start(self.replica.run)
        await node.nursery.start(self._serve_peers)
        node.nursery.start_soon(self.service.run)
        node.nursery.start_soon(self._update_peers)
        if self._is_cluster_creator():
            await self.replica.create_cluster(peers_may_be_down=True)
        await node.serve(
            settings.control_address, self.api.control(self.service, settings)
        )
        await node.serve(
            settings.directory_address,
            self.api.directory(self.service, settings),
        )
        await node.serve(settings.metrics_address, node.metrics)
        node.events.write("core:started")
        await node.wait_for_stop_signal()
        node.events.write("core:stopping")

    async def _serve_peers(self, task_status: trio.TaskStatus[None]) -> None:
        await stream.serve_stream_peers(
            self.node.settings.peer_address,
            self.service,
            self.node.message_codec,
            self.node.events,
            task_status=task_status,
        )

    def _is_cluster_creator(self) -> bool:
        """Returns whether this replica must create the cluster.

        At the first start all nodes have the same seeds, so only the node with
        the lowest seed address creates the cluster. Its disk is empty then.
        """
        settings = self.node.settings
        return (
            settings.first_start
            and self.replica.status().identity is None
            and settings.peer_address == min(settings.seeds, key=str)
        )

    async def _update_peers(self) -> None:
        """Keeps the peers of the replica up to date until cancelled."""
        while True:
            members = self.replica.status().replicas.members
            self.replica.state.peers = tuple(
                dict.fromkeys(
                    (
                        *self.node.settings.seeds,
                        *(member.address for member in members),
                    )
                )
            )
            await trio.sleep(PEERS_UPDATE_INTERVAL_S)


async def run_core(load: _process.SettingsLoader, api: CoreApi) -> None:
    """Runs a control replica.

    Args:
        load: Reads the settings.
        api: Factories of the HTTP handlers.

    Raises:
        OSError: The settings cannot be read.
        ExceptionGroup: An unexpected error, such as a `ValueError` for settings
            without a data folder.
        SystemExit: The node ended by an error, such as a failed disk; the event
            log has its code.
    """
    message_codec = codec.MessageCodec(fleet.CODEC_TYPES)
    async with _process.open_node(load, message_codec) as node:
        folder = node.settings.data_folder
        if folder is None:
            raise ValueError("a control replica needs a data folder")
        with contextlib.closing(
            disk.DataFolder(folder, message_codec)
        ) as data_folder:
            store = disk.TimedStore(data_folder, node.events, node.metrics)
            node.nursery.start_soon(store.report_stalls)
            await CoreNode(node, store, api).run()
