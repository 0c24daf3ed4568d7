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

# A change may put hundreds of objects; a table names the first ones.
MAX_NAMED_OBJECTS = 3


@click.command()
@click.argument("kind", required=False, type=click.Choice(settings.KINDS))
@_session.operator_command
async def show(session: _session.Session, kind: str | None) -> None:
    """Show the configuration as a steering file."""
    view = await session.client.configuration()
    configuration = view.configuration
    objects = [
        item
        for item in configuration.objects
        if kind in (None, model.object_key(item).kind)
    ]
    state = "confirmed by a majority" if view.confirmed else "may be stale"
    session.show(
        view,
        [
            f"# revision {configuration.revision}, {state}\n",
            settings.render_steering(objects).rstrip("\n"),
        ],
    )


@click.command()
@click.option("--limit", default=20, show_default=True, help="Most changes.")
@click.option("--after", default=0, help="Only changes after this revision.")
@_session.operator_command
async def history(session: _session.Session, limit: int, after: int) -> None:
    """Show the accepted changes, newest first."""
    changes = await session.client.history(after, limit)
    session.show(
        changes, history_lines(changes), tuple[ports.AcceptedChange, ...]
    )


def history_lines(changes: tuple[ports.AcceptedChange, ...]) -> Iterator[str]:
    """Returns the lines of a table of changes."""
    return _tables.table_lines(
        ["REVISION", "ACCEPTED", "OPERATOR", "CHANGE", "COMMENT"],
        [
            [
                item.revision,
                _tables.moment(item.accepted_at_s),
                item.change.operator,
                _objects(item.change),
                item.change.comment,
            ]
            for item in changes
        ],
    )


def _objects(change: model.Change) -> str:
    puts = (model.object_key(item) for item in change.puts)
    names = [
        *(f"{key.kind} {key.name}" for key in puts),
        *(f"-{key.kind} {key.name}" for key in change.deletes),
    ]
    more = len(names) - MAX_NAMED_OBJECTS
    shown = ", ".join(names[:MAX_NAMED_OBJECTS])
    return f"{shown} and {more} more" if more > 0 else shown


@click.command()
@click.argument("revision", required=False, type=click.IntRange(min=0))
@click.option("--wait", is_flag=True, help="Wait until it is in force.")
@_session.operator_command
async def status(
    session: _session.Session, revision: int | None, wait: bool
) -> None:
    """Show at which entries a revision is in force, and the replicas."""
    if wait:
        found = await wait_in_force(session, revision)
    else:
        found = await session.client.revision_status(revision)
    session.show(found, _status_lines(found))
    if not session.as_json:
        replicas = await session.client.replicas()
        click.echo()
        for line in _replica_lines(replicas):
            click.echo(line)


async def wait_in_force(
    session: _session.Session, revision: int | None
) -> ports.RevisionStatus:
    """Waits until a revision is in force at every entry in contact.

    The other entries must have stopped steering across regions.

    Raises:
        CommandError: The revision was not in force everywhere in time.
    """
    last = ""
    with trio.move_on_after(session.timeout_s):
        while True:
            found = await session.client.revision_status(revision)
            revision = found.revision
            line = summary(found)
            if line != last:
                session.tell(line)
                last = line
            if found.current >= revision and not any(
                map(_missing, found.entries)
            ):
                return found
            await trio.sleep(_session.POLL_INTERVAL_S)
    raise _exit.CommandError(
        _exit.WAIT_TIMED_OUT,
        f"revision {revision} was not in force everywhere after"
        f" {_tables.duration(session.timeout_s)}",
        _exit.Exit.TIMED_OUT,
    )


def _missing(entry: ports.EntryRevision) -> bool:
    return entry.behind_s is not None and entry.detached_in_s != 0


def summary(found: ports.RevisionStatus) -> str:
    """Returns one sentence on how far a revision is in force."""
    total = len(found.entries)
    behind = [entry for entry in found.entries if entry.behind_s is not None]
    detached = sum(entry.detached_in_s == 0 for entry in behind)
    text = (
        f"revision {found.revision} is in force at {total - len(behind)} of"
        f" {_tables.count(total, 'entry')}"
    )
    return f"{text}; {detached} detached" if detached else text


def _status_lines(found: ports.RevisionStatus) -> Iterator[str]:
    yield summary(found)
    if found.current != found.revision:
        yield f"the current revision is {found.current}"
    if not found.confirmed:
        yield "this replica has no quorum, so the revision may be stale"
    if found.entries:
        yield ""
        yield from _tables.table_lines(
            ["ENTRY", "REVISION", "BEHIND SINCE", "LAST CONTACT", "DETACHED"],
            [
                [
                    entry.entry,
                    entry.revision,
                    _ago(entry.behind_s),
                    _ago(entry.contact_age_s),
                    _detached(entry.detached_in_s),
                ]
                for entry in found.entries
            ],
        )


def _ago(age_s: float | None) -> str:
    if age_s == math.inf:
        return "never"
    return "-" if age_s is None else f"{_tables.duration(age_s)} ago"


def _detached(in_s: float | None) -> str:
    if in_s is None:
        return "no"
    return f"in {_tables.duration(in_s)}" if in_s > 0 else "yes"


def _replica_lines(replicas: tuple[ports.ReplicaView, ...]) -> Iterator[str]:
    rows = []
    for replica in replicas:
        seen = replica.status
        if seen is None:
            rows.append(["?", replica.address, "no answer", "", "", "", ""])
            continue
        rows.append(
            [
                seen.identity.name if seen.identity else "?",
                replica.address,
                seen.role,
                seen.term,
                seen.applied_index,
                seen.revision,
                _ago(seen.quorum_age_s),
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
    found = await session.client.entries()
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
            for entry in found
        ],
    )
    session.show(found, lines, tuple[model.EntryRecord, ...])


@click.command()
@click.option("--service", default="", help="Only this service.")
@_session.operator_command
async def upstreams(session: _session.Session, service: str) -> None:
    """Show the upstreams that announced themselves."""
    found = tuple(
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
                _ago(record.age_s),
                ", ".join(f"{k}={v}" for k, v in sorted(record.labels.items())),
            ]
            for record in found
        ],
    )  # fmt: skip
    session.show(found, lines, tuple[model.UpstreamRecord, ...])
