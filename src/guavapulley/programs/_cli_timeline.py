"""Command `timeline`, which merges log files."""

import pathlib

import click

from guavapulley.programs import _timeline
from guavapulley.programs import _timeline_page

_PATH = click.Path(path_type=pathlib.Path)


@click.command()
@click.argument("logs", metavar="LOG...", nargs=-1, required=True, type=_PATH)
@click.option("--request", default="", help="Only this request ID.")
@click.option("--revision", default="", help="Only this revision.")
@click.option("--upstream", default="", help="Only this upstream.")
@click.option("--entry", default="", help="Only this entry.")
@click.option(
    "--event", default="", help="Only events whose names match this pattern."
)
@click.option(
    "--html", "page", type=_PATH, help="Write an HTML page to this file."
)
def timeline(
    logs: tuple[pathlib.Path, ...], page: pathlib.Path | None, **criteria: str
) -> None:
    """Merge the logs of all processes in causal order."""
    readers = [_timeline.LogReader(path) for path in logs]
    events = _timeline.merge(readers, _timeline.EventFilter(**criteria))
    if page is None:
        for line in _timeline.text_lines(events):
            click.echo(line)
    else:
        text = _timeline_page.render(events)
        try:
            page.write_text(text, encoding="utf-8")
        except OSError as error:
            raise click.FileError(str(page), error.strerror) from error
    for warning in _timeline.skipped_line_warnings(readers):
        click.echo(warning, err=True)
