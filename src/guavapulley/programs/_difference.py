"""Differences between configurations."""

from collections.abc import Iterable
from collections.abc import Iterator

import attrs

from guavapulley import model
from guavapulley.adapters import settings


@attrs.frozen
class Difference:
    """Objects that a change puts into or deletes from a configuration.

    Attributes:
        puts: Objects to add or replace.
        deletes: Objects to remove.
    """

    puts: tuple[model.ConfigurationObject, ...] = ()
    deletes: tuple[model.ObjectKey, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.puts or self.deletes)


def find_difference(
    current: model.Configuration,
    desired: Iterable[model.ConfigurationObject],
    *,
    prune: bool,
) -> Difference:
    """Returns the changes that turn a configuration into the desired one.

    Args:
        current: Configuration in force.
        desired: Objects of a steering file.
        prune: Whether to delete the objects that are not in `desired`.
    """
    current_objects = {
        model.object_key(configuration_object): configuration_object
        for configuration_object in current.objects
    }
    desired_objects = {
        model.object_key(configuration_object): configuration_object
        for configuration_object in desired
    }
    puts = (
        desired_objects[key]
        for key in sorted(desired_objects)
        if current_objects.get(key) != desired_objects[key]
    )
    deletes = (
        sorted(current_objects.keys() - desired_objects.keys()) if prune else ()
    )
    return Difference(tuple(puts), tuple(deletes))


def difference_lines(
    current: model.Configuration, difference: Difference
) -> Iterator[str]:
    """Yields the lines of a readable difference, object by object.

    Added lines begin with `+`, removed ones with `-` and unchanged ones with a
    blank; `~` marks the header of an object that changes.
    """
    current_objects = {
        model.object_key(configuration_object): configuration_object
        for configuration_object in current.objects
    }
    for configuration_object in difference.puts:
        old = current_objects.get(model.object_key(configuration_object))
        if old is None:
            yield from (
                f"+ {line}" for line in _section_lines(configuration_object)
            )
        else:
            yield from _compare_sections(
                _section_lines(old), _section_lines(configuration_object)
            )
    for key in difference.deletes:
        if key in current_objects:
            yield from (
                f"- {line}" for line in _section_lines(current_objects[key])
            )


def _section_lines(
    configuration_object: model.ConfigurationObject,
) -> list[str]:
    return settings.render_object(configuration_object).splitlines()


def _compare_sections(old: list[str], new: list[str]) -> Iterator[str]:
    """Yields the differences of two sections, which have the same keys."""
    yield f"~ {new[0]}"
    for before, after in zip(old[1:], new[1:], strict=True):
        if before == after:
            yield f"  {after}"
        else:
            yield f"- {before}"
            yield f"+ {after}"
