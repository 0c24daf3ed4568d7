"""Plots the credit of an experiment over time on an HTML page."""

from collections.abc import Iterator
from collections.abc import Mapping
import html

from guavapulley import experiments
from guavapulley.programs import _pages

WIDTH_PX, HEIGHT_PX = 640, 200
COLOURS = ("#1b6ca8", "#c0392b", "#27864e", "#8e44ad", "#b7791f")

_STYLE = """\
body { font: 14px/1.4 system-ui, sans-serif; margin: 1rem; color: #222; }
svg { border: 1px solid #ddd; }
"""


def render(
    pattern: str, seed: int, runs: Mapping[str, experiments.Ledger]
) -> str:
    """Renders the credit in each time window, with a curve for each policy.

    Args:
        pattern: Name of the load pattern.
        seed: Seed of the runs.
        runs: Outcomes of the requests by policy.
    """
    return _pages.render_page(
        "guavapulley experiment", _STYLE, _body(pattern, seed, runs)
    )


def _body(
    pattern: str, seed: int, runs: Mapping[str, experiments.Ledger]
) -> Iterator[str]:
    yield f"<h1>{html.escape(pattern)}, seed {seed}</h1>"
    yield "<p>Credit earned as a fraction of the possible, by arrival time.</p>"
    yield f'<svg width="{WIDTH_PX}" height="{HEIGHT_PX}">'
    for colour, ledger in zip(COLOURS, runs.values(), strict=False):
        yield (
            f'<polyline fill="none" stroke="{colour}" stroke-width="2"'
            f' points="{_polyline_points(ledger)}"/>'
        )
    yield "</svg>\n<ul>"
    for colour, (name, ledger) in zip(COLOURS, runs.items(), strict=False):
        yield (
            f'<li style="color: {colour}">{html.escape(name)}:'
            f" {ledger.credit():.3f}</li>"
        )
    yield "</ul>"


def _polyline_points(ledger: experiments.Ledger) -> str:
    windows = ledger.credit_by_window()
    last_s = max((start for start, _ in windows), default=0.0) or 1.0
    return " ".join(
        f"{start / last_s * WIDTH_PX:.1f},{(1 - credit) * HEIGHT_PX:.1f}"
        for start, credit in windows
    )
