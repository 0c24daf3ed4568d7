"""Edge node: an entry that forwards requests of callers to upstreams."""

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

# Fraction of the stop timeout during which connections are kept open, so that
# callers with an earlier lookup can switch to another entry.
SERVING_FRACTION = 0.5
# Time during which requests are begun that may need longer than the stop. All
# that callers send 3 s after the signal must be answered, and a busy machine
# handles the signal late.
MAX_OPEN_S = 2.8
# Time at the end of the stop timeout that is kept free for a busy machine.
STOP_MARGIN_S = 0.4
FINAL_ANSWERS_DELAY_S = 0.05
# Time to write the answers to the requests whose deadlines pass last.
LAST_DEADLINE_MARGIN_S = 0.1


class ReadinessHandler:
    """HTTP handler that reports whether callers may be sent to the node.

    Args:
        is_ready: Returns whether the node accepts requests.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    async def answer(self, request: model.HttpRequest) -> model.Answer:
        """Returns status 200 while the node is ready, else status 503."""
        return model.Answer(model.AnswerHead(200 if self.is_ready() else 503))

    def may_overlap(self, request: model.HttpRequest) -> bool:
        """Returns True, as all requests may overlap."""
        return True


class EdgeNode:
    """Forwards requests according to the watched fleet state.

    Args:
        node: Adapters and settings.
        header_codec: Translates headers of callers and upstreams.
    """

    def __init__(
        self, node: _process.Node, header_codec: ports.HeaderCodec
    ) -> None:
        self.node = node
        settings = node.settings
        self.incarnation = secrets.token_hex(8)
        self.accepting = True
        self.server = http1.ServerState(body_budget=node.request_budget)
        self.client = http1.Http1Client(
            header_codec, node.events, node.answer_budget
        )
        self.watcher = forwarding.FleetWatcher(
            node.dialer,
            lambda: node.settings.seeds,
            self._node_record,
            node.message_codec,
            node.events,
        )
        self.watcher.on_change = self._apply_state
        self.forwarder = forwarding.Forwarder(
            forwarding.UpstreamRegistry(
                settings.forwarding_settings, settings.name, node.events
            ),
            self.client,
            header_codec,
            routing.Location(settings.region, settings.failure_domain),
            node.events,
            node.metrics,
        )
        self.forwarder.reporter.state_age_s = self._state_age_s
        node.metrics.read_gauges = self._gauges

    def _node_record(self) -> model.NodeRecord | None:
        """Returns the record of this node, or None if it accepts no callers."""
        settings = self.node.settings
        if settings.callers_address is None:
            return None
        return model.NodeRecord(
            settings.name,
            settings.region,
            settings.failure_domain,
            settings.callers_address,
            self.incarnation,
            self.accepting and self.watcher.ready.is_set(),
        )

    def _apply_state(self, state: model.FleetState) -> None:
        self.forwarder.apply_state(state)
        self.client.close_idle_except(state.upstreams)

    def _state_age_s(self) -> float:
        """Returns the seconds since a replica confirmed the fleet state."""
        return trio.current_time() - self.watcher.confirmed_s

    def _gauges(self) -> dict[str, float]:
        """Returns the current values of the gauges."""
        forwarder, state = self.forwarder, self.watcher.state
        return {
            "requests_running.all": forwarder.running,
            "fleet_index.applied": state.index,
            "fleet_version.routing": state.routing.version,
            "fleet_age_seconds.confirmed": self._state_age_s(),
            "upstreams_known.all": len(state.upstreams),
            **forwarder.registry.gauges(),
        }

    def _limits(self) -> model.CallerLimits:
        return self.watcher.state.routing.limits

    async def run(self) -> None:
        """Serves callers until a signal to stop arrives, then drains."""
        node = self.node
        node.nursery.start_soon(self.watcher.run)
        node.nursery.start_soon(self._announce_ready)
        settings = node.settings
        await node.serve(
            settings.callers_address, self.forwarder, self._limits, self.server
        )
        await node.serve(
            settings.readiness_address,
            ReadinessHandler(
                lambda: self.accepting and self.watcher.ready.is_set()
            ),
        )
        await node.serve(settings.metrics_address, node.metrics)
        await node.wait_for_stop_signal()
        await self._stop()

    async def _announce_ready(self) -> None:
        await self.watcher.ready.wait()
        self.watcher.refresh()

    async def _stop(self) -> None:
        """Drains the node and waits for running requests.

        Requests that were begun early and still run near the end of the stop
        timeout are aborted.
        """
        stop_timeout_s = self.node.settings.stop_timeout_s
        start_s = trio.current_time()
        self.accepting = False
        self.server.stopping = True
        self.watcher.refresh()
        self.node.events.write("edge:stopping", running=self.forwarder.running)
        serving_s = stop_timeout_s * SERVING_FRACTION
        end_s = start_s + stop_timeout_s - STOP_MARGIN_S
        await self.forwarder.drain(
            forwarding.StopSchedule(
                start_s + min(serving_s, MAX_OPEN_S),
                end_s - LAST_DEADLINE_MARGIN_S,
            )
        )
        await trio.sleep_until(start_s + serving_s)
        self.server.idle_closing.set()
        with trio.move_on_at(end_s):
            await self.server.wait_sent()
        self.forwarder.refuse_all()
        # Time for the last answers to be sent.
        await trio.sleep(FINAL_ANSWERS_DELAY_S)


async def run_edge(
    load: _process.SettingsLoader, header_codec: ports.HeaderCodec
) -> None:
    """Runs an edge node.

    Args:
        load: Reads the settings.
        header_codec: Translates headers of callers and upstreams.

    Raises:
        OSError: The settings cannot be read.
        SystemExit: The node ended by an error; the event log has its code.
    """
    async with _process.open_node(load, codec.MessageCodec()) as node:
        await EdgeNode(node, header_codec).run()
