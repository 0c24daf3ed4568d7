"""Commands that run the roles of the system."""

import functools
import pathlib
import tempfile

import click
import trio

from guavapulley.adapters import settings
from guavapulley.programs import _control
from guavapulley.programs import _demo
from guavapulley.programs import _entry

_settings_option = click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=pathlib.Path, dir_okay=False),
    help="INI file with the settings of the process.",
)


@click.group()
def control() -> None:
    """Run or create a control replica."""


@control.command("run")
@_settings_option
def control_run(path: pathlib.Path) -> None:
    """Run the control replica of this VM until SIGTERM or SIGINT."""
    process_settings = settings.load_process_settings(
        path, settings.Role.CONTROL
    )
    trio.run(_control.run_control, process_settings)


@control.command("init")
@_settings_option
@click.option(
    "--peers-may-be-down",
    is_flag=True,
    help="Continue although a configured peer does not answer. Only for the"
    " first start: an unreachable peer that has a cluster already would belong"
    " to a different one.",
)
def control_init(path: pathlib.Path, peers_may_be_down: bool) -> None:
    """Create the cluster, once, on one VM; the other replicas join it."""
    process_settings = settings.load_process_settings(
        path, settings.Role.CONTROL
    )
    trio.run(
        functools.partial(
            _control.init_control,
            process_settings,
            peers_may_be_down=peers_may_be_down,
        )
    )
    click.echo(f"{process_settings.node}: cluster created")


@click.group()
def entry() -> None:
    """Run an entry."""


@entry.command("run")
@_settings_option
def entry_run(path: pathlib.Path) -> None:
    """Run the entry of this VM until SIGTERM or SIGINT."""
    process_settings = settings.load_process_settings(path, settings.Role.ENTRY)
    trio.run(_entry.run_entry, process_settings)


@click.command()
@click.option(
    "--seconds",
    type=click.FloatRange(min=0),
    help="Stop this long after the last step; the default is at Ctrl-C.",
)
def demo(seconds: float | None) -> None:
    """Run all roles and simulated upstreams in this process.

    Uses free ports of the loopback address and a temporary folder.
    """
    with tempfile.TemporaryDirectory(prefix="guavapulley-demo-") as folder:
        trio.run(_demo.run_demo, pathlib.Path(folder), seconds, click.echo)
