"""The control role."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import random

import trio

from guavapulley import consensus
from guavapulley import control
from guavapulley.adapters import clock
from guavapulley.adapters import disk
from guavapulley.adapters import http
from guavapulley.adapters import nng
from guavapulley.adapters import settings
from guavapulley.programs import _process

# Operators ask seldom; each question holds a worker while it waits.
HTTP_WORKERS = 32


def _replica(
    context: _process.ProcessContext,
    store: disk.DataFolder,
    machine: control.ControlStateMachine,
) -> consensus.Replica:
    loaded = context.settings
    return consensus.Replica(
        loaded.node,
        loaded.announced_peer,
        loaded.control_peers,
        store,
        context.dialer,
        context.messages,
        machine,
        context.events,
        context.metrics,
        random.Random(),
    )


@contextlib.contextmanager
def _built(
    loaded: settings.ProcessSettings,
) -> Iterator[tuple[_process.ProcessContext, control.ControlService]]:
    assert loaded.data_folder is not None
    with (
        _process.process_context(loaded) as context,
        contextlib.closing(
            disk.DataFolder(loaded.data_folder, context.messages)
        ) as store,
    ):
        machine = control.ControlStateMachine(
            context.messages, control.validate_configuration
        )
        yield (
            context,
            control.ControlService(
                _replica(context, store, machine),
                machine,
                context.messages,
                context.dialer,
                clock.unix_time_s,
                context.events,
            ),
        )


async def init_control(
    loaded: settings.ProcessSettings, *, peers_may_be_down: bool
) -> None:
    """Creates a cluster of the replica of this VM.

    Raises:
        ConsensusError: A cluster exists already or may exist.
    """
    with _built(loaded) as (context, service):
        async with trio.open_nursery() as nursery:
            await nursery.start(service.replica.run)
            await service.replica.create_cluster(
                peers_may_be_down=peers_may_be_down
            )
            nursery.cancel_scope.cancel()
        context.events.write("control:cluster_created")


async def run_control(
    loaded: settings.ProcessSettings,
    wait_to_stop: Callable[[], Awaitable[object]] = _process.wait_for_signal,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Runs a control replica until a signal to stop.

    Args:
        loaded: Settings of the process.
        wait_to_stop: Returns when the replica is to stop.
        task_status: Started when both ports listen.

    Raises:
        GuavapulleyError: The disk failed, or a port cannot be used.
    """
    with _built(loaded) as (context, service):
        directory = http.EntryDirectory(
            loaded.node,
            context.dialer,
            loaded.entry_seeds,
            loaded.operator_token,
        )
        admin = control.ControlAdmin(
            service, directory, loaded.control_peers, loaded.announced_peer
        )
        frontend = http.AdminFrontend(
            admin, loaded.operator_token, context.events
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(service.replica.run)
            await nursery.start(
                nng.serve_peers,
                loaded.peer,
                service,
                context.envelopes,
                loaded.node,
                context.clock,
                context.events,
            )
            await _serve_operators(nursery, context, frontend)
            context.events.write("control:started")
            task_status.started()
            await wait_to_stop()
            context.events.write("control:stopping")
            nursery.cancel_scope.cancel()


async def _serve_operators(
    nursery: trio.Nursery,
    context: _process.ProcessContext,
    frontend: http.AdminFrontend,
) -> None:
    async def serve(*, task_status: trio.TaskStatus[http.HttpServer]) -> None:
        await http.serve_http(
            context.settings.http,
            frontend,
            context.events,
            limits=http.HttpLimits(workers=HTTP_WORKERS),
            task_status=task_status,
        )

    await nursery.start(serve)
