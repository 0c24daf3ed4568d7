"""The command line."""

import sys
from typing import Any

import click

from guavapulley import errors
from guavapulley.adapters import settings
from guavapulley.programs import _cli_timeline
from guavapulley.programs import _exit


class _Group(click.Group):
    """Group that reports errors of the system without a traceback."""

    def invoke(self, ctx: click.Context) -> Any:
        """Runs a command; each layer's errors become an exit code."""
        try:
            return super().invoke(ctx)
        except errors.GuavapulleyError as error:
            click.echo(f"Error: {error}", err=True)
            ctx.exit(_exit_code(error))


def _exit_code(error: errors.GuavapulleyError) -> _exit.Exit:
    if isinstance(error, settings.SettingsError):
        return _exit.Exit.USAGE
    return _exit.Exit.ERROR


@click.group(cls=_Group, epilog=_exit.HELP)
@click.version_option(package_name="guavapulley")
def cli() -> None:
    """Steer requests to upstreams by labels and selectors."""


cli.add_command(_cli_timeline.timeline)


def main() -> None:
    """Runs the command line and exits with its code."""
    sys.exit(cli(prog_name="guavapulley"))
