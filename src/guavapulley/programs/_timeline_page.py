"""Renders the timeline as a self-contained HTML page."""

from collections.abc import Iterable
from collections.abc import Iterator
import html

from guavapulley.programs import _pages
from guavapulley.programs import _timeline

_STYLE = """\
body { font: 13px/1.4 system-ui, sans-serif; margin: 1rem; color: #222; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #fff; text-align: left; }
th, td { padding: 2px 8px; border-bottom: 1px solid #ddd;
 vertical-align: top; }
td.clock { text-align: right; font-variant-numeric: tabular-nums; }
td.time { white-space: nowrap; color: #666; }
td.lane { border-left: 1px solid #ddd; }
td.event { background: #eef4ff; }
.name { font-weight: 600; }
dl { margin: 0; display: grid; grid-template-columns: auto 1fr;
 column-gap: 6px; }
dt { color: #666; }
dd { margin: 0; overflow-wrap: anywhere; }
"""


def render(events: Iterable[_timeline.Event]) -> str:
    """Renders events with one column for each process.

    Args:
        events: Events in the order of the rows.
    """
    rows = list(events)
    processes = sorted({event.process for event in rows})
    return _pages.render_page(
        "guavapulley timeline", _STYLE, _body(rows, processes)
    )


def _body(rows: list[_timeline.Event], processes: list[str]) -> Iterator[str]:
    yield "<h1>guavapulley timeline</h1>"
    yield (
        f"<p>{len(rows)} events of {len(processes)} processes in causal order."
        " Wall-clock times of different machines may disagree.</p>"
    )
    columns = "".join(f"<th>{html.escape(name)}</th>" for name in processes)
    yield f"<table>\n<tr><th>clock</th><th>time (UTC)</th>{columns}</tr>"
    yield from (_row(event, processes) for event in rows)
    yield "</table>"


def _row(event: _timeline.Event, processes: list[str]) -> str:
    columns = "".join(
        f'<td class="lane event">{_cell(event)}</td>'
        if name == event.process
        else '<td class="lane"></td>'
        for name in processes
    )
    return (
        f'<tr><td class="clock">{event.clock}</td>'
        f'<td class="time">{html.escape(event.time())}</td>{columns}</tr>'
    )


def _cell(event: _timeline.Event) -> str:
    fields = "".join(
        f"<dt>{html.escape(name)}</dt><dd>{html.escape(value)}</dd>"
        for name, value in event.details()
    )
    name = html.escape(event.name)
    return f'<span class="name">{name}</span><dl>{fields}</dl>'
