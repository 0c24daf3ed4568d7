"""Commands that show the state of the system."""

from collections.abc import Iterator
import math

import click
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import settings
from guavapulley.programs import _exit
from guavapulley.programs import _session
from guavapulley.programs import _tables

# A change may contain hundreds of objects; tables name only the first ones.
MAX_NAMED_OBJECTS = 3


@click.command()
@click.argument("kind", required=False, type=click.Choice(settings.KINDS))
@_session.operator_command
async def show(session: _session.Session, kind: str | None) -> None:
    """Show the configuration as a steering file."""
    view = await session.client.configuration()
    configuration = view.configuration
    objects = [
        configuration_object
        for configuration_object in configuration.objects
        if kind in (None, model.object_key(configuration_object).kind)
    ]
    confirmation = (
        "confirmed by a majority" if view.confirmed else "may be stale"
    )
    session.print_result(
        view,
        [
            f"# revision {configuration.revision}, {confirmation}\n",
            settings.render_steering(objects).rstrip("\n"),
        ],
    )


@click.command()
@click.option(
    "--limit", default=20, show_default=True, help="Maximum number of changes."
)
@click.option("--after", default=0, help="Only changes after this revision.")
@_session.operator_command
async def history(session: _session.Session, limit: int, after: int) -> None:
    """Show the accepted changes, newest first."""
    changes = await session.client.history(after, limit)
    session.print_result(
        changes, history_lines(changes), tuple[ports.AcceptedChange, ...]
    )


def history_lines(changes: tuple[ports.AcceptedChange, ...]) -> Iterator[str]:
    """Returns the lines of a table of accepted changes."""
    return _tables.table_lines(
        ["REVISION", "ACCEPTED", "OPERATOR", "CHANGE", "COMMENT"],
        [
            [
                accepted.revision,
                _tables.format_utc_time(accepted.accepted_at_s),
                accepted.change.operator,
                _format_changed_objects(accepted.change),
                accepted.change.comment,
            ]
            for accepted in changes
        ],
    )


def _format_changed_objects(change: model.Change) -> str:
    puts = (model.object_key(put_object) for put_object in change.puts)
    names = [
        *(f"{key.kind} {key.name}" for key in puts),
        *(f"-{key.kind} {key.name}" for key in change.deletes),
    ]
    hidden_count = len(names) - MAX_NAMED_OBJECTS
    shown_names = ", ".join(names[:MAX_NAMED_OBJECTS])
    return (
        f"{shown_names} and {hidden_count} more"
        if hidden_count > 0
        else shown_names
    )


@click.command()
@click.argument("revision", required=False, type=click.IntRange(min=0))
@click.option("--wait", is_flag=True, help="Wait until it is in force.")
@_session.operator_command
async def status(
    session: _session.Session, revision: int | None, wait: bool
) -> None:
    """Show the entries where a revision is in force, and the replicas."""
    if wait:
        revision_status = await wait_until_in_force(session, revision)
    else:
        revision_status = await session.client.revision_status(revision)
    session.print_result(revision_status, _status_lines(revision_status))
    if not session.as_json:
        replicas = await session.client.replicas()
        click.echo()
        for line in _replica_lines(replicas):
            click.echo(line)


async def wait_until_in_force(
    session: _session.Session, revision: int | None
) -> ports.RevisionStatus:
    """Waits until a revision is in force at all entries in contact.

    Entries without contact to control must be detached: they have stopped
    steering across regions.

    Args:
        session: Session of the command.
        revision: Revision to wait for; None for the current one.

    Raises:
        CommandError: The revision was not in force before the timeout.
    """
    last_line = ""
    with trio.move_on_after(session.timeout_s):
        while True:
            revision_status = await session.client.revision_status(revision)
            revision = revision_status.revision
            line = summarize_status(revision_status)
            if line != last_line:
                session.print_message(line)
                last_line = line
            if revision_status.current >= revision and not any(
                map(_is_behind_and_not_detached, revision_status.entries)
            ):
                return revision_status
            await trio.sleep(_session.POLL_INTERVAL_S)
    raise _exit.CommandError(
        _exit.WAIT_TIMED_OUT,
        f"revision {revision} was not in force everywhere after"
        f" {_tables.format_duration(session.timeout_s)}",
        _exit.ExitCode.TIMED_OUT,
    )


def _is_behind_and_not_detached(entry: ports.EntryRevision) -> bool:
    return entry.behind_s is not None and entry.detached_in_s != 0


def summarize_status(revision_status: ports.RevisionStatus) -> str:
    """Returns a sentence with the number of entries that use a revision."""
    total = len(revision_status.entries)
    behind = [
        entry for entry in revision_status.entries if entry.behind_s is not None
    ]
    detached = sum(entry.detached_in_s == 0 for entry in behind)
    text = (
        f"revision {revision_status.revision} is in force at"
        f" {total - len(behind)} of"
        f" {_tables.format_count(total, 'entry')}"
    )
    return f"{text}; {detached} detached" if detached else text


def _status_lines(revision_status: ports.RevisionStatus) -> Iterator[str]:
    yield summarize_status(revision_status)
    if revision_status.current != revision_status.revision:
        yield f"the current revision is {revision_status.current}"
    if not revision_status.confirmed:
        yield "this replica has no quorum, so the revision may be stale"
    if revision_status.entries:
        yield ""
        yield from _tables.table_lines(
            ["ENTRY", "REVISION", "BEHIND SINCE", "LAST CONTACT", "DETACHED"],
            [
                [
                    entry.entry,
                    entry.revision,
                    _format_age(entry.behind_s),
                    _format_age(entry.contact_age_s),
                    _format_detachment(entry.detached_in_s),
                ]
                for entry in revision_status.entries
            ],
        )


def _format_age(age_s: float | None) -> str:
    if age_s == math.inf:
        return "never"
    return "-" if age_s is None else f"{_tables.format_duration(age_s)} ago"


def _format_detachment(in_s: float | None) -> str:
    if in_s is None:
        return "no"
    return f"in {_tables.format_duration(in_s)}" if in_s > 0 else "yes"


def _replica_lines(replicas: tuple[ports.ReplicaView, ...]) -> Iterator[str]:
    rows = []
    for replica in replicas:
        replica_status = replica.status
        if replica_status is None:
            rows.append(["?", replica.address, "no answer", "", "", "", ""])
            continue
        rows.append(
            [
                replica_status.identity.name
                if replica_status.identity
                else "?",
                replica.address,
                replica_status.role,
                replica_status.term,
                replica_status.applied_index,
                replica_status.revision,
                _format_age(replica_status.quorum_age_s),
            ]
        )
    return _tables.table_lines(
        ["REPLICA", "ADDRESS", "ROLE", "TERM", "APPLIED", "REVISION", "QUORUM"],
        rows,
    )


@click.command()
@_session.operator_command
async def entries(session: _session.Session) -> None:
    """Show the entries."""
    records = await session.client.entries()
    lines = _tables.table_lines(
        ["ENTRY", "REGION", "DOMAIN", "ADDRESS", "STATE", "REVISION", "BUSY"],
        [
            [
                entry.name,
                entry.region,
                entry.failure_domain,
                entry.address,
                entry.state.value,
                entry.revision,
                sum(entry.in_flight.values()),
            ]
            for entry in records
        ],
    )
    session.print_result(records, lines, tuple[model.EntryRecord, ...])


@click.command()
@click.option("--service", default="", help="Only this service.")
@_session.operator_command
async def upstreams(session: _session.Session, service: str) -> None:
    """Show the announced upstreams."""
    records = tuple(
        record
        for record in await session.client.upstreams()
        if service in ("", record.service)
    )
    lines = _tables.table_lines(
        ["SERVICE", "UPSTREAM", "REGION", "DOMAIN", "ADDRESS", "SLOTS", "BUSY",
         "STATE", "RENEWED", "LABELS"],
        [
            [
                record.service,
                record.upstream,
                record.region,
                record.failure_domain,
                record.address,
                record.slots,
                record.load.in_flight if record.load else "?",
                record.state.value,
                _format_age(record.age_s),
                ", ".join(f"{k}={v}" for k, v in sorted(record.labels.items())),
            ]
            for record in records
        ],
    )  # fmt: skip
    session.print_result(records, lines, tuple[model.UpstreamRecord, ...])
