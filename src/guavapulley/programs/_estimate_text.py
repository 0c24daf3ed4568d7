"""The estimate of a change as text."""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

from guavapulley.programs import _estimate
from guavapulley.programs import _tables
from guavapulley.programs import _world

MAX_NAMES = 8


def lines(found: _estimate.Estimate) -> Iterator[str]:
    """Yields an estimate for a person."""
    yield (
        "Estimate from announced upstreams and their load reports; requests"
        " that a"
    )
    yield "region serves now count as coming from there."
    for item, names in found.upstreams.items():
        yield f"{item} matches {_names(names, 'upstream')}"
    yield from _match_lines(found.matches)
    yield from _move_lines(found.moves)
    yield from _pressure_lines(found)
    if found.unreported:
        count = _tables.count(found.unreported, "upstream")
        yield f"Without load report, and counted as idle: {count}."


def _names(names: Sequence[str], noun: str) -> str:
    text = _tables.count(len(names), noun)
    if not names:
        return text
    shown = ", ".join(map(_tables.plain, names[:MAX_NAMES]))
    more = ", ..." if len(names) > MAX_NAMES else ""
    return f"{text}: {shown}{more}"


def _match_lines(matches: Sequence[_estimate.Match]) -> Iterator[str]:
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
            text += f", if their labels fit: {', '.join(depends_on)}"
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
                + f"about {move.moved() * 100:.0f} %",
                _shares(move.before),
                _shares(move.after),
            ]
            for move in moves
        ],
    )


def _shares(shares: Mapping[str, float]) -> str:
    parts = (
        f"{region} {share * 100:.0f} %"
        for region, share in sorted(shares.items())
        if share > _world.LEAST_SHARE
    )
    return ", ".join(parts) or "nowhere"


def _pressure_lines(found: _estimate.Estimate) -> Iterator[str]:
    if found.regions or found.links:
        yield ""
    about = "up to about" if any(m.at_most for m in found.moves) else "about"
    for region in found.regions:
        yield (
            f"Region {region.region} would be pressed: {region.service} rises"
            f" from about {region.busy_before:.0f} to {about}"
            f" {region.busy_after:.0f} requests in flight; its limit is"
            f" {region.capacity}, and {region.for_others:.0f} for requests from"
            " other regions."
        )
    for link in found.links:
        yield _link_line(link, about)


def _link_line(link: _estimate.LinkPressure, about: str) -> str:
    text = (
        f"Link {link.link} would carry {about} {link.added:.1f} more requests"
        " in flight"
    )
    if link.reached_below_ms is None:
        return f"{text}; it has no cap."
    return (
        f"{text}; answers of the expected size reach its cap of"
        f" {link.mbit_per_s:g} Mbit/s when these requests take less than"
        f" {link.reached_below_ms:.1f} ms on average."
    )
