"""Commands that show the outcome and the steering of single requests."""

from collections.abc import Iterator
import pathlib

import click

from guavapulley import model
from guavapulley import ports
from guavapulley.programs import _exit
from guavapulley.programs import _request_trace
from guavapulley.programs import _request_trace_text
from guavapulley.programs import _session
from guavapulley.programs import _tables
from guavapulley.programs import _timeline

_PATH = click.Path(path_type=pathlib.Path)
_OUTCOME_DESCRIPTIONS = {
    model.OutcomeKind.CLAIMED: (
        "claimed, and no outcome is recorded; the request may have run"
    ),
    model.OutcomeKind.UNKNOWN: "unknown: the request may have run",
    model.OutcomeKind.COMPLETED: "completed: the request ran once",
}


@click.command()
@click.argument("service")
@click.argument("key")
@_session.operator_command
async def outcome(session: _session.Session, service: str, key: str) -> None:
    """Show the stored outcome of an idempotency key.

    Exits with 5 if it is not known whether the request ran.
    """
    stored = await session.client.outcome(service, key)
    session.print_result(stored, _outcome_lines(stored))
    if stored.kind is not model.OutcomeKind.COMPLETED:
        raise _exit.CommandError(
            _exit.OUTCOME_UNCERTAIN,
            f"it is not known whether request {stored.request_id} ran",
            _exit.ExitCode.UNKNOWN_OUTCOME,
        )


def _outcome_lines(stored: model.StoredOutcome) -> Iterator[str]:
    yield f"outcome   {_OUTCOME_DESCRIPTIONS[stored.kind]}"
    yield f"key       {_tables.printable_text(stored.key)}"
    yield f"request   {_tables.printable_text(stored.request_id)}"
    yield f"entry     {_tables.printable_text(stored.entry)}"
    yield f"claimed   {_tables.format_utc_time(stored.claimed_at_s)}"
    if stored.answer is not None:
        yield (
            f"answer    status {stored.answer.head.status},"
            f" {len(stored.answer.body)} bytes"
        )


@click.command()
@click.argument("request_id")
@click.argument("logs", metavar="[LOG]...", nargs=-1, type=_PATH)
@_session.optional_operator_command
async def explain(
    session: _session.Session | None,
    request_id: str,
    logs: tuple[pathlib.Path, ...],
) -> None:
    """Show how an entry handled a request, and why.

    With log files, the answer is derived from them without asking a process.
    """
    if logs:
        _explain_from_logs(request_id, logs)
    elif session is None:
        raise click.UsageError(
            "name log files, or give --control and --token-file"
        )
    else:
        explanation = await session.client.explain(request_id)
        session.print_result(explanation, _explanation_lines(explanation))


def _explain_from_logs(request_id: str, logs: tuple[pathlib.Path, ...]) -> None:
    readers = [_timeline.LogReader(path) for path in logs]
    trace = _request_trace.read_trace(request_id, _timeline.merge(readers))
    for line in _request_trace_text.trace_lines(trace):
        click.echo(line)
    for warning in _timeline.skipped_line_warnings(readers):
        click.echo(warning, err=True)


def _explanation_lines(explanation: ports.Explanation) -> Iterator[str]:
    yield f"request   {_tables.printable_text(explanation.request_id)}"
    yield f"service   {_tables.printable_text(explanation.service)}"
    yield f"entry     {_tables.printable_text(explanation.entry)}"
    yield f"revision  {explanation.revision}"
    yield (
        f"intent    {_tables.printable_text(explanation.intent or '(default)')}"
    )
    yield f"queued    {_tables.format_duration(explanation.waited_s)}"
    yield (
        "outcome   "
        f"{_tables.printable_text(explanation.outcome or '(running)')}"
    )
    if explanation.attempts:
        yield ""
        yield from _tables.table_lines(
            ["ATTEMPT", "UPSTREAM", "DURATION", "OUTCOME"],
            [
                [
                    attempt.kind,
                    attempt.upstream,
                    f"{attempt.duration_s * 1000:.0f} ms",
                    attempt.outcome,
                ]
                for attempt in explanation.attempts
            ],
        )
    if explanation.upstreams:
        yield ""
        yield from _tables.table_lines(
            ["UPSTREAM", "SCORE", "NOT CHOSEN BECAUSE"],
            [
                [
                    upstream.upstream,
                    "-" if upstream.score is None else f"{upstream.score:.2f}",
                    upstream.reason or "-",
                ]
                for upstream in explanation.upstreams
            ],
        )
