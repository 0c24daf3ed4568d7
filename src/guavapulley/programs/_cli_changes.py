"""Commands that change the configuration."""

from collections.abc import Callable
import getpass
import pathlib
from typing import Any
import uuid

import attrs
import click
import trio

from guavapulley import model
from guavapulley.adapters import http
from guavapulley.adapters import settings
from guavapulley.programs import _cli_views
from guavapulley.programs import _difference
from guavapulley.programs import _estimate
from guavapulley.programs import _estimate_text
from guavapulley.programs import _exit
from guavapulley.programs import _session

# Maximum number of changes shown after a conflict.
MAX_CONFLICT_CHANGES = 20


@attrs.frozen
class ChangeOptions:
    """Command-line options of a change.

    Attributes:
        base: Revision on which the change is based; None for the current one.
        request_id: Request ID of an earlier attempt; empty for a new ID.
        operator: Name of the operator in the history.
        comment: Reason for the change, for the history.
        wait: Whether to wait until the change is in force.
        dry_run: Whether to estimate the effect without making the change.
    """

    base: int | None
    request_id: str
    operator: str
    comment: str
    wait: bool
    dry_run: bool


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError, ImportError):  # the user ID has no name here
        return "operator"


def add_change_options(function: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the options of a change, which are passed as `options`."""
    click_options = (
        click.option(
            "--base",
            type=click.IntRange(min=0),
            help="Revision that you saw; the default is the current one.",
        ),
        click.option(
            "--request-id",
            default="",
            help="Request ID of an attempt whose outcome is unknown.",
        ),
        click.option(
            "--operator",
            default=_login_name,
            envvar="GUAVAPULLEY_OPERATOR",
            show_envvar=True,
            help="Your name in the history; the default is the login name.",
        ),
        click.option("--comment", default="", help="Reason, for the history."),
        click.option("--wait", is_flag=True, help="Wait until it is in force."),
        click.option(
            "--dry-run", is_flag=True, help="Estimate the effect only."
        ),
    )

    def command(
        *args: Any,
        base: int | None,
        request_id: str,
        operator: str,
        comment: str,
        wait: bool,
        dry_run: bool,
        **kwargs: Any,
    ) -> Any:
        options = ChangeOptions(
            base, request_id, operator, comment, wait, dry_run
        )
        return function(*args, options=options, **kwargs)

    command.__doc__ = function.__doc__
    command.__name__ = function.__name__
    decorated: Any = command
    decorated.__click_params__ = getattr(function, "__click_params__", [])
    for option in reversed(click_options):
        decorated = option(decorated)
    return decorated  # type: ignore[no-any-return]


_FILE = click.Path(path_type=pathlib.Path)


@click.command()
@click.argument("file", type=_FILE)
@click.option(
    "--prune", is_flag=True, help="Remove the objects that FILE lacks."
)
@add_change_options
@_session.operator_command
async def apply(
    session: _session.Session,
    file: pathlib.Path,
    prune: bool,
    options: ChangeOptions,
) -> None:
    """Apply the objects of a steering file.

    The change is based on the revision to which the shown difference applies.
    If another change was accepted meanwhile, it is refused with exit code 3.
    """
    desired_objects = settings.load_steering(file)
    current = await _read_confirmed_configuration(session)
    difference = _difference.find_difference(
        current, desired_objects, prune=prune
    )
    if options.request_id:
        # If the first attempt was accepted, nothing differs any more. All
        # objects are sent again to get the verdict on that attempt.
        difference = attrs.evolve(difference, puts=desired_objects)
    await _show_and_submit(session, current, difference, options)


@click.command()
@click.argument("file", type=_FILE)
@click.option(
    "--prune", is_flag=True, help="Remove the objects that FILE lacks."
)
@_session.operator_command
async def diff(
    session: _session.Session, file: pathlib.Path, prune: bool
) -> None:
    """Show what applying a steering file would change."""
    desired_objects = settings.load_steering(file)
    current = await _read_confirmed_configuration(session)
    difference = _difference.find_difference(
        current, desired_objects, prune=prune
    )
    session.print_result(difference, _change_lines(current, difference))


@click.command()
@click.argument("name")
@click.argument("selector")
@add_change_options
@_session.operator_command
async def drain(
    session: _session.Session,
    name: str,
    selector: str,
    options: ChangeOptions,
) -> None:
    """Send no new requests to the upstreams that SELECTOR matches."""
    configuration_object = model.Drain(name, selector)
    settings.check_object(configuration_object)
    await _put_object(session, configuration_object, options)


@click.command()
@click.argument("name")
@add_change_options
@_session.operator_command
async def undrain(
    session: _session.Session, name: str, options: ChangeOptions
) -> None:
    """End the drain NAME."""
    await _delete_object(
        session, settings.parse_object_key("drain", name), options
    )


@click.command()
@click.argument("name")
@click.argument("selector", required=False)
@click.argument("labels", required=False)
@click.option("--remove", is_flag=True, help="Remove the labels set by NAME.")
@add_change_options
@_session.operator_command
async def label(
    session: _session.Session,
    name: str,
    selector: str | None,
    labels: str | None,
    remove: bool,
    options: ChangeOptions,
) -> None:
    """Set labels on the upstreams that SELECTOR matches.

    LABELS is `key = value` pairs joined by commas, such as "rack = 7, old =";
    an empty value removes the announced label.
    """
    if remove:
        key = settings.parse_object_key("label", name)
        await _delete_object(session, key, options)
        return
    if selector is None or labels is None:
        raise click.UsageError("SELECTOR and LABELS are needed, or --remove.")
    configuration_object = model.LabelOverride(
        name, selector, settings.parse_labels(labels)
    )
    settings.check_object(configuration_object)
    await _put_object(session, configuration_object, options)


async def _read_confirmed_configuration(
    session: _session.Session,
) -> model.Configuration:
    """Returns the configuration as soon as a majority confirms it.

    Retries until the timeout of the session, because an election may be in
    progress.

    Raises:
        CommandError: No majority confirmed it before the timeout.
    """
    with trio.move_on_after(session.timeout_s):
        is_reported = False
        while True:
            view = await session.client.configuration()
            if view.confirmed:
                return view.configuration
            if not is_reported:
                session.print_message(
                    "waiting for a majority of the control replicas"
                )
                is_reported = True
            await trio.sleep(_session.POLL_INTERVAL_S)
    raise _exit.CommandError(
        _exit.CONFIGURATION_STALE,
        "no majority confirmed the configuration; a change would start from a"
        " revision that may be stale",
        _exit.ExitCode.NOT_ACCEPTED,
    )


async def _put_object(
    session: _session.Session,
    configuration_object: model.ConfigurationObject,
    options: ChangeOptions,
) -> None:
    current = await _read_confirmed_configuration(session)
    difference = _difference.find_difference(
        current, [configuration_object], prune=False
    )
    if options.request_id:
        difference = _difference.Difference((configuration_object,))
    await _show_and_submit(session, current, difference, options)


async def _delete_object(
    session: _session.Session,
    key: model.ObjectKey,
    options: ChangeOptions,
) -> None:
    current = await _read_confirmed_configuration(session)
    # The first attempt of a resent change may have removed the object.
    exists = key in map(model.object_key, current.objects)
    if not exists and not options.request_id:
        raise _exit.CommandError(
            _exit.OBJECT_UNKNOWN,
            f"there is no {key.kind} {key.name}",
            _exit.ExitCode.ERROR,
        )
    difference = _difference.Difference(deletes=(key,))
    await _show_and_submit(session, current, difference, options)


def _change_lines(
    current: model.Configuration, difference: _difference.Difference
) -> list[str]:
    if not difference:
        return [f"# no difference from revision {current.revision}"]
    lines = _difference.difference_lines(current, difference)
    return [f"# against revision {current.revision}", *lines]


async def _show_and_submit(
    session: _session.Session,
    current: model.Configuration,
    difference: _difference.Difference,
    options: ChangeOptions,
) -> None:
    """Prints a change, then estimates its effect or submits it."""
    if not session.as_json:
        for line in _change_lines(current, difference):
            click.echo(line)
    if options.dry_run:
        await _show_estimate(session, current, difference)
        return
    if not difference:
        return
    change = model.Change(
        options.request_id or str(uuid.uuid4()),
        current.revision if options.base is None else options.base,
        options.operator,
        difference.puts,
        difference.deletes,
        options.comment,
    )
    verdict = await _submit_change(session, change)
    session.print_result(verdict, [f"accepted as revision {verdict.revision}"])
    if options.wait:
        await _cli_views.wait_until_in_force(session, verdict.revision)


async def _show_estimate(
    session: _session.Session,
    current: model.Configuration,
    difference: _difference.Difference,
) -> None:
    after = current.with_changes(
        current.revision, difference.puts, difference.deletes
    )
    changed = [*map(model.object_key, difference.puts), *difference.deletes]
    records = await session.client.upstreams()
    estimate = _estimate.estimate(current, after, changed, records)
    lines = ["", *_estimate_text.estimate_lines(estimate)]
    session.print_result(attrs.asdict(estimate), lines)


async def _submit_change(
    session: _session.Session, change: model.Change
) -> model.Verdict:
    """Submits a change and returns its verdict.

    Raises:
        AdminCallError: The call failed; its `not_run` tells whether the change
            may have been made.
        CommandError: The change was not accepted.
    """
    try:
        verdict = await session.client.propose_change(change)
    except http.AdminCallError as error:
        if not error.not_run:
            session.print_message(
                "The outcome is unknown. Repeat the command with --request-id"
                f" {change.request_id} --base {change.base_revision} to learn"
                " it; the change is made at most once."
            )
        raise
    if verdict.kind is model.VerdictKind.CONFLICT:
        await _report_conflict(session, change, verdict)
    if verdict.kind is not model.VerdictKind.ACCEPTED:
        raise _exit.CommandError(
            _exit.CHANGE_REFUSED, verdict.message, _exit.ExitCode.NOT_ACCEPTED
        )
    return verdict


async def _report_conflict(
    session: _session.Session, change: model.Change, verdict: model.Verdict
) -> None:
    changes = await session.client.history(
        change.base_revision, MAX_CONFLICT_CHANGES
    )
    session.print_message(f"Changed since revision {change.base_revision}:")
    for line in _cli_views.history_lines(changes):
        session.print_message(line)
    raise _exit.CommandError(
        _exit.CHANGE_CONFLICT,
        f"the change is based on revision {change.base_revision}, and the"
        f" current one is {verdict.revision}; nothing was changed",
        _exit.ExitCode.CONFLICT,
    )
