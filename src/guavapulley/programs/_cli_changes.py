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

# Changes shown after a conflict.
MAX_CONFLICT_CHANGES = 20


@attrs.frozen
class Intended:
    """How an operator asked for a change.

    Attributes:
        base: Revision that the operator saw; None means the one read now.
        request_id: Request ID of an earlier try; empty draws one.
        operator: Who asks.
        comment: Reason.
        wait: Whether to wait until the change is in force.
        dry_run: Whether to estimate only.
    """

    base: int | None
    request_id: str
    operator: str
    comment: str
    wait: bool
    dry_run: bool


def _user() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError, ImportError):  # no such user on this machine
        return "operator"


def change_options(function: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the options of a change, passed on as `intended`."""
    options = (
        click.option(
            "--base",
            type=click.IntRange(min=0),
            help="Revision that you saw; the default is the one read now.",
        ),
        click.option(
            "--request-id",
            default="",
            help="Request ID of a try whose outcome is unknown.",
        ),
        click.option(
            "--operator",
            default=_user,
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
        intended = Intended(base, request_id, operator, comment, wait, dry_run)
        return function(*args, intended=intended, **kwargs)

    command.__doc__ = function.__doc__
    command.__name__ = function.__name__
    copied: Any = command
    copied.__click_params__ = getattr(function, "__click_params__", [])
    for option in reversed(options):
        copied = option(copied)
    return copied  # type: ignore[no-any-return]


_FILE = click.Path(path_type=pathlib.Path)


@click.command()
@click.argument("file", type=_FILE)
@click.option(
    "--prune", is_flag=True, help="Remove the objects that FILE lacks."
)
@change_options
@_session.operator_command
async def apply(
    session: _session.Session,
    file: pathlib.Path,
    prune: bool,
    intended: Intended,
) -> None:
    """Put the objects of a steering file into force.

    The change is based on the revision that the difference was shown for; when
    another change came first, it is refused with exit code 3.
    """
    wanted = settings.load_steering(file)
    current = await _current(session)
    found = _difference.difference(current, wanted, prune=prune)
    if intended.request_id:
        # The first try may have been accepted, and then nothing differs; the
        # whole change is sent again to learn its verdict.
        found = attrs.evolve(found, puts=wanted)
    await _make(session, current, found, intended)


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
    wanted = settings.load_steering(file)
    current = await _current(session)
    found = _difference.difference(current, wanted, prune=prune)
    session.show(found, _change_lines(current, found))


@click.command()
@click.argument("name")
@click.argument("selector")
@change_options
@_session.operator_command
async def drain(
    session: _session.Session, name: str, selector: str, intended: Intended
) -> None:
    """Give no new work to the upstreams that SELECTOR matches."""
    item = model.Drain(name, selector)
    settings.check_object(item)
    await _put(session, item, intended)


@click.command()
@click.argument("name")
@change_options
@_session.operator_command
async def undrain(
    session: _session.Session, name: str, intended: Intended
) -> None:
    """End the drain NAME."""
    await _delete(session, settings.parse_object_key("drain", name), intended)


@click.command()
@click.argument("name")
@click.argument("selector", required=False)
@click.argument("labels", required=False)
@click.option("--remove", is_flag=True, help="Remove the labels set by NAME.")
@change_options
@_session.operator_command
async def label(
    session: _session.Session,
    name: str,
    selector: str | None,
    labels: str | None,
    remove: bool,
    intended: Intended,
) -> None:
    """Set labels on the upstreams that SELECTOR matches.

    LABELS is `key = value` pairs joined by commas, such as "rack = 7, old =";
    an empty value removes the announced label.
    """
    if remove:
        key = settings.parse_object_key("label", name)
        await _delete(session, key, intended)
        return
    if selector is None or labels is None:
        raise click.UsageError("SELECTOR and LABELS are needed, or --remove.")
    item = model.LabelOverride(name, selector, settings.parse_labels(labels))
    settings.check_object(item)
    await _put(session, item, intended)


async def _current(session: _session.Session) -> model.Configuration:
    """Returns the configuration once a majority confirms it.

    The time limit lets an election end before the command gives up.

    Raises:
        CommandError: No majority confirmed it in time.
    """
    with trio.move_on_after(session.timeout_s):
        reported = False
        while True:
            view = await session.client.configuration()
            if view.confirmed:
                return view.configuration
            if not reported:
                session.tell("waiting for a majority of the control replicas")
                reported = True
            await trio.sleep(_session.POLL_INTERVAL_S)
    raise _exit.CommandError(
        _exit.CONFIGURATION_STALE,
        "no majority confirmed the configuration; a change would start from a"
        " revision that may be stale",
        _exit.Exit.NOT_ACCEPTED,
    )


async def _put(
    session: _session.Session,
    item: model.ConfigurationObject,
    intended: Intended,
) -> None:
    current = await _current(session)
    found = _difference.difference(current, [item], prune=False)
    if intended.request_id:
        found = _difference.Difference((item,))
    await _make(session, current, found, intended)


async def _delete(
    session: _session.Session, key: model.ObjectKey, intended: Intended
) -> None:
    current = await _current(session)
    # A resend may find that its first try has removed the object.
    known = key in map(model.object_key, current.objects)
    if not known and not intended.request_id:
        raise _exit.CommandError(
            _exit.OBJECT_UNKNOWN,
            f"there is no {key.kind} {key.name}",
            _exit.Exit.ERROR,
        )
    found = _difference.Difference(deletes=(key,))
    await _make(session, current, found, intended)


def _change_lines(
    current: model.Configuration, found: _difference.Difference
) -> list[str]:
    if not found:
        return [f"# no difference from revision {current.revision}"]
    lines = _difference.difference_lines(current, found)
    return [f"# against revision {current.revision}", *lines]


async def _make(
    session: _session.Session,
    current: model.Configuration,
    found: _difference.Difference,
    intended: Intended,
) -> None:
    """Shows a change, then estimates it or sends it."""
    if not session.as_json:
        for line in _change_lines(current, found):
            click.echo(line)
    if intended.dry_run:
        await _show_estimate(session, current, found)
        return
    if not found:
        return
    change = model.Change(
        intended.request_id or str(uuid.uuid4()),
        current.revision if intended.base is None else intended.base,
        intended.operator,
        found.puts,
        found.deletes,
        intended.comment,
    )
    verdict = await _send(session, change)
    session.show(verdict, [f"accepted as revision {verdict.revision}"])
    if intended.wait:
        await _cli_views.wait_in_force(session, verdict.revision)


async def _show_estimate(
    session: _session.Session,
    current: model.Configuration,
    found: _difference.Difference,
) -> None:
    after = current.replaced(current.revision, found.puts, found.deletes)
    changed = [*map(model.object_key, found.puts), *found.deletes]
    records = await session.client.upstreams()
    estimated = _estimate.estimate(current, after, changed, records)
    lines = ["", *_estimate_text.lines(estimated)]
    session.show(attrs.asdict(estimated), lines)


async def _send(
    session: _session.Session, change: model.Change
) -> model.Verdict:
    """Sends a change and returns its verdict when it is accepted."""
    try:
        verdict = await session.client.change(change)
    except http.AdminCallError as error:
        if not error.not_run:
            session.tell(
                "The outcome is unknown. Repeat the command with --request-id"
                f" {change.request_id} --base {change.base_revision} to learn"
                " it; the change is made at most once."
            )
        raise
    if verdict.kind is model.VerdictKind.CONFLICT:
        await _tell_conflict(session, change, verdict)
    if verdict.kind is not model.VerdictKind.ACCEPTED:
        raise _exit.CommandError(
            _exit.CHANGE_REFUSED, verdict.message, _exit.Exit.NOT_ACCEPTED
        )
    return verdict


async def _tell_conflict(
    session: _session.Session, change: model.Change, verdict: model.Verdict
) -> None:
    changes = await session.client.history(
        change.base_revision, MAX_CONFLICT_CHANGES
    )
    session.tell(f"Changed since revision {change.base_revision}:")
    for line in _cli_views.history_lines(changes):
        session.tell(line)
    raise _exit.CommandError(
        _exit.CHANGE_CONFLICT,
        f"the change is based on revision {change.base_revision}, and the"
        f" current one is {verdict.revision}; nothing was changed",
        _exit.Exit.CONFLICT,
    )
