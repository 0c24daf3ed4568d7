"""The control role: its adapters and tasks."""

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

# Operators send few requests, but each occupies a worker until it is answered.
HTTP_WORKERS = 32


def _create_replica(
    context: _process.ProcessContext,
    data_folder: disk.DataFolder,
    machine: control.ControlStateMachine,
) -> consensus.Replica:
    process_settings = context.settings
    return consensus.Replica(
        process_settings.node,
        process_settings.announced_peer,
        process_settings.control_peers,
        data_folder,
        context.dialer,
        context.message_codec,
        machine,
        context.events,
        context.metrics,
        random.Random(),
    )


@contextlib.contextmanager
def _open_service(
    process_settings: settings.ProcessSettings,
) -> Iterator[tuple[_process.ProcessContext, control.ControlService]]:
    assert process_settings.data_folder is not None
    with (
        _process.process_context(process_settings) as context,
        contextlib.closing(
            disk.DataFolder(process_settings.data_folder, context.message_codec)
        ) as data_folder,
    ):
        machine = control.ControlStateMachine(
            context.message_codec, control.validate_configuration
        )
        yield (
            context,
            control.ControlService(
                _create_replica(context, data_folder, machine),
                machine,
                context.message_codec,
                context.dialer,
                clock.unix_time_s,
                context.events,
            ),
        )


async def init_control(
    process_settings: settings.ProcessSettings, *, peers_may_be_down: bool
) -> None:
    """Creates a cluster whose only member is the replica of this VM.

    Raises:
        ConsensusError: A cluster exists or may exist.
    """
    with _open_service(process_settings) as (context, service):
        async with trio.open_nursery() as nursery:
            await nursery.start(service.replica.run)
            await service.replica.create_cluster(
                peers_may_be_down=peers_may_be_down
            )
            nursery.cancel_scope.cancel()
        context.events.write("control:cluster_created")


async def run_control(
    process_settings: settings.ProcessSettings,
    wait_for_stop: Callable[
        [], Awaitable[object]
    ] = _process.wait_for_stop_signal,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Runs a control replica until it is asked to stop.

    Args:
        process_settings: Settings of the process.
        wait_for_stop: Returns when the replica is to stop.
        task_status: Started when both ports accept connections.

    Raises:
        GuavapulleyError: The disk failed, or a port cannot be used.
    """
    with _open_service(process_settings) as (context, service):
        directory = http.EntryDirectory(
            process_settings.node,
            context.dialer,
            process_settings.entry_seeds,
            process_settings.operator_token,
        )
        admin = control.ControlAdmin(
            service,
            directory,
            process_settings.control_peers,
            process_settings.announced_peer,
        )
        frontend = http.AdminFrontend(
            admin, process_settings.operator_token, context.events
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(service.replica.run)
            await nursery.start(
                nng.serve_peers,
                process_settings.peer,
                service,
                context.envelope_codec,
                process_settings.node,
                context.clock,
                context.events,
            )
            await _serve_operators(nursery, context, frontend)
            context.events.write("control:started")
            task_status.started()
            await wait_for_stop()
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
