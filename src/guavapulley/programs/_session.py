"""Sessions and options shared by the commands of operators."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import functools
import json
import pathlib
from typing import Any
from typing import Concatenate
from typing import ParamSpec

import attrs
import click
import trio

from guavapulley import model
from guavapulley.adapters import http
from guavapulley.adapters import settings

P = ParamSpec("P")

DEFAULT_TIMEOUT_S = 30.0
# Interval at which a waiting command reads the status.
POLL_INTERVAL_S = 0.5


@attrs.frozen
class Session:
    """One execution of an operator's command.

    Attributes:
        client: Client of the administration API.
        timeout_s: Timeout of a call, and of waiting for a status.
        as_json: Whether to print results as JSON.
    """

    client: http.AdminClient
    timeout_s: float
    as_json: bool

    def print_result(
        self, value: object, lines: Iterable[str], kind: Any = None
    ) -> None:
        """Prints a result as JSON or as lines of text.

        Args:
            value: Result.
            lines: Text of the result.
            kind: Type by which the value is encoded as JSON; None for its own.
        """
        if self.as_json:
            body = http.to_json(value, kind)
            click.echo(json.dumps(body, indent=2, sort_keys=True))
        else:
            for line in lines:
                click.echo(line)

    def print_message(self, text: str) -> None:
        """Prints a message on standard error."""
        click.echo(text, err=True)


class _AddressListType(click.ParamType[tuple[model.NodeAddress, ...]]):
    """Parameter type of addresses separated by commas."""

    name = "HOST:PORT,..."

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> tuple[model.NodeAddress, ...]:
        """Parses the addresses; see `click.ParamType`."""
        if isinstance(value, tuple):
            return value
        try:
            addresses = settings.parse_addresses(value)
        except settings.SettingsError as error:
            self.fail(f"{error.problem}; allowed: {error.allowed}", param, ctx)
        if not addresses:
            self.fail("at least one address is needed", param, ctx)
        return addresses


def operator_command(
    function: Callable[Concatenate[Session, P], Awaitable[None]],
) -> Callable[..., None]:
    """Turns an async function into a command that calls control replicas.

    Args:
        function: Takes the session, then the parameters of the command.
    """
    return _command(function, control_required=True)


def optional_operator_command(
    function: Callable[Concatenate[Session | None, P], Awaitable[None]],
) -> Callable[..., None]:
    """Turns an async function into one that may call control replicas.

    Args:
        function: Takes the session, or None without addresses and a token,
            then the parameters of the command.
    """
    return _command(function, control_required=False)


def _command(
    function: Callable[..., Awaitable[None]], *, control_required: bool
) -> Callable[..., None]:
    @_add_session_options(required=control_required)
    @functools.wraps(function)
    def command(
        control: tuple[model.NodeAddress, ...] | None,
        token_file: pathlib.Path | None,
        timeout: float,
        as_json: bool,
        **parameters: Any,
    ) -> None:
        session = None
        if control is not None and token_file is not None:
            session = _open_session(control, token_file, timeout, as_json)
        trio.run(functools.partial(function, session, **parameters))

    return command


def _open_session(
    control: tuple[model.NodeAddress, ...],
    token_file: pathlib.Path,
    timeout_s: float,
    as_json: bool,
) -> Session:
    token = settings.read_token(token_file)
    client = http.AdminClient(
        control, token, timeout_s, lambda text: click.echo(text, err=True)
    )
    return Session(client, timeout_s, as_json)


def _add_session_options(
    *, required: bool
) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Returns a decorator that adds the options of operators' commands."""
    options = (
        click.option(
            "--control",
            type=_AddressListType(),
            envvar="GUAVAPULLEY_CONTROL",
            required=required,
            show_envvar=True,
            help="HTTP addresses of the control replicas.",
        ),
        click.option(
            "--token-file",
            type=click.Path(path_type=pathlib.Path),
            envvar="GUAVAPULLEY_TOKEN_FILE",
            required=required,
            show_envvar=True,
            help="File with the operator token, with mode 0600.",
        ),
        click.option(
            "--timeout",
            type=click.FloatRange(min=0.1),
            default=DEFAULT_TIMEOUT_S,
            show_default=True,
            help="Seconds to wait for an answer, and for --wait.",
        ),
        click.option("--json", "as_json", is_flag=True, help="Print JSON."),
    )

    def decorate(command: Callable[..., None]) -> Callable[..., None]:
        for option in reversed(options):
            command = option(command)
        return command

    return decorate
