"""The entry role: its adapters and tasks."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import random
import secrets

import attrs
import trio

from guavapulley import consensus
from guavapulley import errors
from guavapulley import membership
from guavapulley import model
from guavapulley import serving
from guavapulley import steering
from guavapulley.adapters import clock as wall_clock
from guavapulley.adapters import http
from guavapulley.adapters import nng
from guavapulley.adapters import settings as settings_adapter
from guavapulley.programs import _process

CLAIM_ID_BYTES = 8


@attrs.frozen
class EntryOptions:
    """Options that tests and demonstrations set differently from VMs.

    Attributes:
        limits: Limits of the HTTP server.
        lookup_lifetime_s: Time for which a stopping entry still serves, because
            callers may use earlier lookup results.
        wait_for_stop: Returns when the entry is to stop.
    """

    limits: http.HttpLimits = attrs.field(factory=http.HttpLimits)
    lookup_lifetime_s: float = serving.LOOKUP_LIFETIME_S
    wait_for_stop: Callable[[], Awaitable[object]] = (
        _process.wait_for_stop_signal
    )


class EntryPeerHandler:
    """`ports.PeerHandler` of an entry."""

    def __init__(self, gossiper: membership.Gossiper) -> None:
        self.gossiper = gossiper

    async def handle(self, request: model.PeerMessage) -> model.PeerMessage:
        """Returns the reply to a peer message; see `ports.PeerHandler`."""
        if isinstance(request, model.Gossip):
            return await self.gossiper.handle(request)
        raise errors.GuavapulleyError(
            consensus.MESSAGE_UNKNOWN,
            f"an entry does not handle {type(request).__name__}",
        )


class Entry:
    """Creates and connects the components of an entry.

    Args:
        context: Adapters of the process.
        options: Options that tests and demonstrations set.
    """

    def __init__(
        self, context: _process.ProcessContext, options: EntryOptions
    ) -> None:
        self.context = context
        self.options = options
        settings, dialer = context.settings, context.dialer
        # `SystemRandom` would make a system call for each number.
        rng = random.Random()
        self.registry = membership.Registry(_create_own_record(settings))
        self.gossiper = membership.Gossiper(
            self.registry,
            dialer,
            settings.entry_seeds,
            rng,
            context.events,
            context.metrics,
        )
        self.control = serving.ControlClient(dialer, settings.control_peers)
        self.watcher = serving.ConfigurationWatcher(
            settings.node,
            self.control,
            self.registry.highest_revision,
            context.events,
        )
        self.view = serving.EntryView(self.watcher, self.registry)
        self.links = steering.LinkShares(self.view)
        self.steerer = steering.Steerer(
            self.view,
            settings.node,
            settings.region,
            context.events,
            context.metrics,
            rng,
            links=self.links,
        )
        self.client = http.UrllibUpstreamClient(self._max_connections)
        self.services = self._create_services()

    async def run(self, task_status: trio.TaskStatus[http.HttpServer]) -> None:
        """Runs all tasks until a shutdown, which aborts no request."""
        context, settings = self.context, self.context.settings
        frontend = http.EntryFrontend(
            self.services,
            settings.upstream_token,
            settings.operator_token,
            context.events,
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(
                nng.serve_peers,
                settings.peer,
                EntryPeerHandler(self.gossiper),
                context.envelope_codec,
                settings.node,
                context.clock,
                context.events,
            )
            server = await nursery.start(
                functools.partial(
                    http.serve_http,
                    settings.http,
                    frontend,
                    context.events,
                    limits=self.options.limits,
                )
            )
            self._start_tasks(nursery)
            task_status.started(server)
            await self._publish_until_stop()
            await serving.shut_down(
                self.registry,
                server,
                context.events,
                lookup_lifetime_s=self.options.lookup_lifetime_s,
            )
            await self.services.once_executor.flush_late_outcomes()
            nursery.cancel_scope.cancel()
        self.client.close()
        await self.control.aclose()

    def _start_tasks(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self.gossiper.run)
        nursery.start_soon(self.watcher.run)
        nursery.start_soon(self.services.once_executor.record_late_outcomes)
        nursery.start_soon(
            serving.renew_leases,
            self.context.settings.node,
            self.control,
            self.links,
            self.context.events,
        )

    async def _publish_until_stop(self) -> None:
        """Publishes the state of this entry until it is to stop."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                serving.publish_state,
                self.watcher,
                self.steerer,
                self.registry,
            )
            await self.options.wait_for_stop()
            nursery.cancel_scope.cancel()

    def _create_services(self) -> http.EntryServices:
        context, settings = self.context, self.context.settings
        dispatcher = serving.Dispatcher(
            self.client, self.registry, settings.region, self.links
        )
        region_resolver = serving.CallerRegionResolver(settings.region)
        once_executor = serving.OnceExecutor(
            settings.node,
            self.control,
            self.steerer,
            dispatcher,
            wall_clock.unix_time_s,
            functools.partial(secrets.token_hex, CLAIM_ID_BYTES),
            context.events,
        )
        requests = serving.RequestService(
            self.watcher,
            self.steerer,
            dispatcher,
            once_executor,
            region_resolver,
            context.metrics,
        )
        return http.EntryServices(
            settings.node,
            requests,
            once_executor,
            serving.Lookup(self.view),
            region_resolver,
            self.registry,
            self.watcher,
            self.view,
            self.steerer,
        )

    def _max_connections(self, upstream: model.UpstreamRecord) -> int:
        """Returns the maximum number of connections to an upstream.

        The live entries divide the connections of an upstream evenly.
        """
        entry_count = max(1, len(self.registry.live_entries()))
        return max(1, upstream.max_connections // entry_count)


async def run_entry(
    process_settings: settings_adapter.ProcessSettings,
    options: EntryOptions | None = None,
    *,
    task_status: trio.TaskStatus[http.HttpServer] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Runs an entry until it is asked to stop.

    Args:
        process_settings: Settings of the process.
        options: Options that tests and demonstrations set.
        task_status: Started with the HTTP server when both ports accept
            connections.

    Raises:
        ListenError: The HTTP address cannot be used.
        PeerError: The peer address cannot be used.
    """
    with _process.process_context(process_settings) as context:
        context.events.write("entry:started")
        await Entry(context, options or EntryOptions()).run(task_status)


def _create_own_record(
    settings: settings_adapter.ProcessSettings,
) -> model.EntryRecord:
    return model.EntryRecord(
        settings.node,
        settings.region,
        settings.failure_domain,
        settings.announced_http,
        settings.announced_peer,
        wall_clock.unix_time_ms(),
        0,
        model.EntryState.STARTING,
    )
