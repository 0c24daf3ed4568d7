"""The command `guavapulley` with its subcommands."""

import sys
from typing import Any

import click

import guavapulley
from guavapulley import errors
from guavapulley import ports
from guavapulley.adapters import http
from guavapulley.adapters import settings
from guavapulley.programs import _cli_changes
from guavapulley.programs import _cli_experiment
from guavapulley.programs import _cli_requests
from guavapulley.programs import _cli_roles
from guavapulley.programs import _cli_timeline
from guavapulley.programs import _cli_views
from guavapulley.programs import _exit


class _Group(click.Group):
    """Command group that reports errors of the system without a traceback."""

    def invoke(self, ctx: click.Context) -> Any:
        """Runs a command and turns its errors into exit codes."""
        try:
            return super().invoke(ctx)
        except errors.GuavapulleyError as error:
            click.echo(f"Error: {error}", err=True)
            ctx.exit(exit_code(error))


def exit_code(error: errors.GuavapulleyError) -> _exit.ExitCode:
    """Returns the exit code that stands for an error."""
    if isinstance(error, _exit.CommandError):
        return error.exit_code
    if isinstance(error, settings.SettingsError):
        return _exit.ExitCode.USAGE
    if isinstance(error, http.AdminCallError):
        if not error.not_run:
            return _exit.ExitCode.UNKNOWN_OUTCOME
        if error.code in _NOT_ACCEPTED_CODES:
            return _exit.ExitCode.NOT_ACCEPTED
    return _exit.ExitCode.ERROR


_NOT_ACCEPTED_CODES = frozenset(
    {ports.CHANGE_NOT_ACCEPTED, ports.READ_FAILED, http.CHANGE_INVALID}
)


@click.group(cls=_Group, epilog=_exit.EXIT_CODE_HELP)
@click.version_option(guavapulley.__version__)
def cli() -> None:
    """Steer requests to upstreams by labels and selectors."""


_COMMANDS: tuple[click.Command, ...] = (
    _cli_roles.control,
    _cli_roles.demo,
    _cli_roles.entry,
    _cli_changes.apply,
    _cli_changes.diff,
    _cli_changes.drain,
    _cli_changes.undrain,
    _cli_changes.label,
    _cli_views.show,
    _cli_views.history,
    _cli_views.status,
    _cli_views.entries,
    _cli_views.upstreams,
    _cli_requests.outcome,
    _cli_requests.explain,
    _cli_timeline.timeline,
    _cli_experiment.experiment,
)
for _command in _COMMANDS:
    cli.add_command(_command)


def main() -> None:
    """Runs the command line and exits with the code of the command."""
    sys.exit(cli(prog_name="guavapulley"))
