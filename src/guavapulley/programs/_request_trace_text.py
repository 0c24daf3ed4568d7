"""Formats the trace of a request as text."""

from collections.abc import Iterator

from guavapulley.programs import _request_causes
from guavapulley.programs import _request_trace
from guavapulley.programs import _tables
from guavapulley.programs import _timeline


def trace_lines(trace: _request_trace.RequestTrace) -> Iterator[str]:
    """Yields lines that show what happened to a request, and why."""
    yield f"request   {_tables.printable_text(trace.request_id)}"
    if trace.end_event is not None:
        yield from _head_lines(trace, trace.end_event)
    yield (
        f"cause     {_tables.printable_text(_request_causes.find_cause(trace))}"
    )
    if trace.sends:
        yield ""
        yield from _send_lines(trace)
    wrong_beliefs = list(_request_causes.wrong_beliefs(trace))
    if wrong_beliefs:
        yield ""
        yield "wrong beliefs"
        yield from (
            f"  {_tables.printable_text(line)}" for line in wrong_beliefs
        )
    shown_events = sorted(
        [*trace.request_events, *trace.belief_changes],
        key=lambda event: (event.order, event.sequence),
    )
    if shown_events:
        yield ""
        yield from _timeline.text_lines(
            _timeline.remove_fields(event, "sends") for event in shown_events
        )


def _head_lines(
    trace: _request_trace.RequestTrace, end_event: _timeline.Event
) -> Iterator[str]:
    fields = end_event.fields
    yield f"entry     {_tables.printable_text(end_event.process)}"
    yield f"answered  {end_event.time()}"
    yield (
        f"route     {_tables.printable_text(fields.get('route') or '-')},"
        f" service {_tables.printable_text(fields.get('service') or '-')},"
        f" object {_tables.printable_text(fields.get('key') or '-')},"
        " routing version"
        f" {fields.get('version')}"
    )
    code = fields.get("code")
    yield (
        f"answer    status {trace.status()}"
        + (f" {_tables.printable_text(code)}" if code else "")
        + f" after {float(fields.get('total_s') or 0):.3f} s,"
        f" {float(fields.get('waited_s') or 0):.3f} s of them waiting for an"
        " upstream"
    )


def _send_lines(trace: _request_trace.RequestTrace) -> Iterator[str]:
    yield from _tables.table_lines(
        ["UPSTREAM", "AT", "TOOK", "STATUS", "BELIEVED", "STATED"],
        [
            [
                send.upstream,
                f"{send.fields.get('at_s') or 0:.3f} s",
                "-" if send.took_s is None else f"{send.took_s:.3f} s",
                send.status or "-",
                _format_beliefs(send),
                _format_stated_load(send),
            ]
            for send in trace.sends
        ],
    )


def _format_beliefs(send: _request_trace.Send) -> str:
    fields = send.fields
    load_age_s = fields.get("load_age_s")
    parts = [
        f"load {fields.get('load')}"
        + (
            " (never stated)"
            if load_age_s is None
            else f" ({load_age_s} s old)"
        ),
        f"speed {fields.get('speed')}",
        "warm" if fields.get("warm") else "not warm",
    ]
    if fields.get("failures"):
        parts.append(f"failures {fields['failures']}")
    if fields.get("cold"):
        parts.append("cold")
    return ", ".join(parts)


def _format_stated_load(send: _request_trace.Send) -> str:
    fields = send.fields
    if fields.get("running") is None:
        return "-"
    return (
        f"{fields['running']} running, {fields.get('queued') or 0} waiting,"
        f" slowdown {fields.get('slowdown')}"
    )
