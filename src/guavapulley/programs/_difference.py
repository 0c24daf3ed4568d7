"""Differences between configurations."""

from collections.abc import Iterable
from collections.abc import Iterator

import attrs

from guavapulley import model
from guavapulley.adapters import settings


@attrs.frozen
class Difference:
    """What a change would do to a configuration.

    Attributes:
        puts: Objects to add or replace.
        deletes: Objects to remove.
    """

    puts: tuple[model.ConfigurationObject, ...] = ()
    deletes: tuple[model.ObjectKey, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.puts or self.deletes)


def difference(
    current: model.Configuration,
    wanted: Iterable[model.ConfigurationObject],
    *,
    prune: bool,
) -> Difference:
    """Returns what leads from a configuration to the wanted objects.

    Args:
        current: Configuration in force.
        wanted: Objects of a steering file.
        prune: Whether objects that are not wanted are removed.
    """
    have = {model.object_key(item): item for item in current.objects}
    want = {model.object_key(item): item for item in wanted}
    puts = (want[key] for key in sorted(want) if have.get(key) != want[key])
    deletes = sorted(have.keys() - want.keys()) if prune else ()
    return Difference(tuple(puts), tuple(deletes))


def difference_lines(
    current: model.Configuration, found: Difference
) -> Iterator[str]:
    """Yields a difference, object by object, for a person.

    Lines begin with `+` for what is added, `-` for what is removed and a blank
    for what stays; `~` marks the section of an object that changes.
    """
    have = {model.object_key(item): item for item in current.objects}
    for item in found.puts:
        old = have.get(model.object_key(item))
        if old is None:
            yield from (f"+ {line}" for line in _section(item))
        else:
            yield from _changed(_section(old), _section(item))
    for key in found.deletes:
        if key in have:
            yield from (f"- {line}" for line in _section(have[key]))


def _section(item: model.ConfigurationObject) -> list[str]:
    return settings.render_object(item).splitlines()


def _changed(old: list[str], new: list[str]) -> Iterator[str]:
    """Yields two sections of one object, which have equal keys."""
    yield f"~ {new[0]}"
    for before, after in zip(old[1:], new[1:], strict=True):
        if before == after:
            yield f"  {after}"
        else:
            yield f"- {before}"
            yield f"+ {after}"
