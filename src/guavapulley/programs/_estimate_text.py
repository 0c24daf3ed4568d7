"""Formats the estimate of a change as text."""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

from guavapulley.programs import _estimate
from guavapulley.programs import _tables
from guavapulley.programs import _traffic_model

MAX_SHOWN_NAMES = 8


def estimate_lines(estimate: _estimate.Estimate) -> Iterator[str]:
    """Yields the lines of an estimate."""
    yield (
        "Estimate from announced upstreams and their load reports; requests"
        " that a"
    )
    yield "region serves now count as coming from there."
    for object_name, names in estimate.upstreams.items():
        yield f"{object_name} matches {_format_names(names, 'upstream')}"
    yield from _match_lines(estimate.matches)
    yield from _move_lines(estimate.moves)
    yield from _load_lines(estimate)
    if estimate.unreported:
        count = _tables.format_count(estimate.unreported, "upstream")
        yield f"Without load report, and counted as idle: {count}."


def _format_names(names: Sequence[str], noun: str) -> str:
    text = _tables.format_count(len(names), noun)
    if not names:
        return text
    shown = ", ".join(map(_tables.printable_text, names[:MAX_SHOWN_NAMES]))
    ellipsis = ", ..." if len(names) > MAX_SHOWN_NAMES else ""
    return f"{text}: {shown}{ellipsis}"


def _match_lines(matches: Sequence[_estimate.IntentMatch]) -> Iterator[str]:
    groups: dict[tuple[str, str, tuple[str, ...]], list[str]] = {}
    for match in matches:
        key = (match.intent, match.service, match.depends_on)
        groups.setdefault(key, []).append(match.region)
    for (intent, service, depends_on), regions in groups.items():
        text = (
            f"intent {intent} matches requests for {service} from"
            f" {', '.join(regions)}"
        )
        if depends_on:
            text += f", depending on the labels: {', '.join(depends_on)}"
        yield text


def _move_lines(moves: Sequence[_estimate.Move]) -> Iterator[str]:
    if not moves:
        yield "No requests are estimated to change their region."
        return
    yield ""
    yield from _tables.table_lines(
        ["SERVICE", "FROM", "MOVES", "NOW TO", "THEN TO"],
        [
            [
                move.service,
                move.region,
                ("up to " if move.at_most else "")
                + f"about {move.moved_fraction() * 100:.0f} %",
                _format_fractions(move.before),
                _format_fractions(move.after),
            ]
            for move in moves
        ],
    )


def _format_fractions(fractions: Mapping[str, float]) -> str:
    texts = (
        f"{region} {fraction * 100:.0f} %"
        for region, fraction in sorted(fractions.items())
        if fraction > _traffic_model.MIN_FRACTION
    )
    return ", ".join(texts) or "nowhere"


def _load_lines(estimate: _estimate.Estimate) -> Iterator[str]:
    if estimate.regions or estimate.links:
        yield ""
    qualifier = (
        "up to about"
        if any(move.at_most for move in estimate.moves)
        else "about"
    )
    for region in estimate.regions:
        yield (
            f"Region {region.region} would be near or above its limit:"
            f" {region.service} rises"
            f" from about {region.busy_before:.0f} to {qualifier}"
            f" {region.busy_after:.0f} requests in flight; its limit is"
            f" {region.capacity}, and {region.for_others:.0f} for requests from"
            " other regions."
        )
    for link in estimate.links:
        yield _link_line(link, qualifier)


def _link_line(link: _estimate.LinkLoad, qualifier: str) -> str:
    text = (
        f"Link {link.link} would carry {qualifier} {link.added:.1f} more"
        " requests in flight"
    )
    if link.reached_below_ms is None:
        return f"{text}; it has no cap."
    return (
        f"{text}; answers of the expected size reach its cap of"
        f" {link.mbit_per_s:g} Mbit/s when these requests take less than"
        f" {link.reached_below_ms:.1f} ms on average."
    )
