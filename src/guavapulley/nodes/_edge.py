"""Node that takes the requests of callers."""

from collections.abc import Callable
import secrets

import trio

from guavapulley import forwarding
from guavapulley import model
from guavapulley import ports
from guavapulley import routing
from guavapulley.adapters import codec
from guavapulley.adapters import http1
from guavapulley.nodes import _process

# Part of the time to stop during which new requests are still taken; callers
# that looked the node up before learn of another one meanwhile.
SERVING_PART = 0.5
# Rest of the time to stop that stays unused, for a busy machine.
STOP_MARGIN_S = 0.4
LAST_ANSWERS_S = 0.05


class Readiness:
    """Answers whether callers may be sent to the node."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    async def answer(self, request: model.HttpRequest) -> model.Answer:
        """Returns 200 while the node is ready."""
        return model.Answer(model.AnswerHead(200 if self.is_ready() else 503))

    def may_overlap(self, request: model.HttpRequest) -> bool:
        """Returns that all requests may overlap."""
        return True


class EdgeNode:
    """Forwards requests by the fleet state that it follows.

    Args:
        node: Adapters and settings.
        dialect: Headers of callers and upstreams.
    """

    def __init__(self, node: _process.Node, dialect: ports.Dialect) -> None:
        self.node = node
        settings = node.settings
        self.incarnation = secrets.token_hex(8)
        self.accepting = True
        self.server = http1.ServerState()
        self.client = http1.Http1Client(dialect, node.events)
        self.follower = forwarding.FleetFollower(
            node.dialer, lambda: node.settings.seeds, self._record, node.events
        )
        self.follower.on_change = self._follow
        self.forwarder = forwarding.Forwarder(
            forwarding.Upstreams(settings.bounds, settings.name, node.events),
            self.client,
            dialect,
            routing.Place(settings.region, settings.failure_domain),
            node.events,
            node.metrics,
        )
        self.forwarder.reports.state_age_s = self._state_age_s
        node.metrics.current = self._gauges

    def _record(self) -> model.NodeRecord | None:
        settings = self.node.settings
        if settings.callers is None:
            return None
        return model.NodeRecord(
            settings.name,
            settings.region,
            settings.failure_domain,
            settings.callers,
            self.incarnation,
            self.accepting and self.follower.ready.is_set(),
        )

    def _follow(self, state: model.FleetState) -> None:
        self.forwarder.follow(state)
        self.client.close_idle_except(state.upstreams)

    def _state_age_s(self) -> float:
        """Returns how long ago a replica confirmed the fleet state."""
        return trio.current_time() - self.follower.confirmed_s

    def _gauges(self) -> dict[str, float]:
        """Returns the gauges of the moment."""
        forwarder, state = self.forwarder, self.follower.state
        return {
            "requests_running.all": forwarder.running,
            "fleet_index.applied": state.index,
            "fleet_version.routing": state.routing.version,
            "fleet_age_seconds.confirmed": self._state_age_s(),
            "upstreams_known.all": len(state.upstreams),
            **forwarder.upstreams.gauges(),
        }

    def _limits(self) -> model.CallerLimits:
        return self.follower.state.routing.limits

    async def run(self) -> None:
        """Serves callers until the node is to stop."""
        node = self.node
        node.nursery.start_soon(self.follower.run)
        node.nursery.start_soon(self._announce_ready)
        settings = node.settings
        await node.serve(
            settings.callers, self.forwarder, self._limits, self.server
        )
        await node.serve(
            settings.readiness,
            Readiness(lambda: self.accepting and self.follower.ready.is_set()),
        )
        await node.serve(settings.metrics, node.metrics)
        await node.wait_to_stop()
        await self._stop()

    async def _announce_ready(self) -> None:
        await self.follower.ready.wait()
        self.follower.hasten()

    async def _stop(self) -> None:
        """Has callers go elsewhere, then ends what is still running."""
        stop_s = self.node.settings.stop_s
        began_s = trio.current_time()
        self.accepting = False
        self.server.stopping = True
        self.follower.hasten()
        self.node.events.write("edge:stopping", running=self.forwarder.running)
        await trio.sleep(stop_s * SERVING_PART)
        self.forwarder.refusing = True
        self.server.idle_closing.set()
        end_s = began_s + stop_s - STOP_MARGIN_S
        with trio.move_on_at(end_s):
            await self.forwarder.wait_idle()
        # The last answers are still on their way.
        await trio.sleep(LAST_ANSWERS_S)


async def run_edge(load: _process.Loader, dialect: ports.Dialect) -> None:
    """Runs a node that takes the requests of callers.

    Args:
        load: Reads the settings.
        dialect: Headers of callers and upstreams.
    """
    async with _process.opened_node(load, codec.MessageCodec()) as node:
        await EdgeNode(node, dialect).run()
