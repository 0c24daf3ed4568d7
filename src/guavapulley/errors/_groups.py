"""Unwrapping of the exception groups that trio nurseries raise."""

from collections.abc import Iterator
import contextlib

from guavapulley.errors import _base


@contextlib.contextmanager
def unwrap_exception_group() -> Iterator[None]:
    """Replaces an exception group by the first error with a code in it.

    A group without such an error is raised unchanged.

    Raises:
        GuavapulleyError: The first such error in the group, so that the command
            line can report its code.
    """
    try:
        yield
    except BaseExceptionGroup as group:
        first_error = next(_iterate_errors(group), None)
        if first_error is None:
            raise
        raise first_error from group


def _iterate_errors(
    group: BaseExceptionGroup[BaseException],
) -> Iterator[_base.GuavapulleyError]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _iterate_errors(error)
        elif isinstance(error, _base.GuavapulleyError):
            yield error
