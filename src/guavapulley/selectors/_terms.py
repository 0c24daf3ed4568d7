"""Selectors and their terms."""

from typing import Protocol

import attrs

from guavapulley import model


class Term(Protocol):
    """A condition on the labels of an upstream or a request."""

    @property
    def key(self) -> str:
        """Key of the label that the condition tests."""

    def matches(self, labels: model.Labels) -> bool:
        """Returns whether the labels meet the condition."""


def _sorted_values(values: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(sorted(set(values)))


@attrs.frozen
class OneOf:
    """Matches if the label exists and has one of the values."""

    key: str
    values: tuple[str, ...] = attrs.field(converter=_sorted_values)

    def matches(self, labels: model.Labels) -> bool:
        """Returns whether the labels meet the condition."""
        return labels.get(self.key) in self.values

    def __str__(self) -> str:
        if len(self.values) == 1:
            return f"{self.key}={self.values[0]}"
        return f"{self.key} in ({','.join(self.values)})"


@attrs.frozen
class NoneOf:
    """Matches if the label is absent or has none of the values."""

    key: str
    values: tuple[str, ...] = attrs.field(converter=_sorted_values)

    def matches(self, labels: model.Labels) -> bool:
        """Returns whether the labels meet the condition."""
        return labels.get(self.key) not in self.values

    def __str__(self) -> str:
        if len(self.values) == 1:
            return f"{self.key}!={self.values[0]}"
        return f"{self.key} notin ({','.join(self.values)})"


@attrs.frozen
class Present:
    """Matches if the label exists, with any value."""

    key: str

    def matches(self, labels: model.Labels) -> bool:
        """Returns whether the labels meet the condition."""
        return self.key in labels

    def __str__(self) -> str:
        return self.key


@attrs.frozen
class Absent:
    """Matches if the label does not exist."""

    key: str

    def matches(self, labels: model.Labels) -> bool:
        """Returns whether the labels meet the condition."""
        return self.key not in labels

    def __str__(self) -> str:
        return f"!{self.key}"


def _sorted_terms(terms: tuple[Term, ...]) -> tuple[Term, ...]:
    return tuple(sorted(set(terms), key=str))


@attrs.frozen
class Selector:
    """A conjunction of terms; without terms it matches everything.

    `str` returns the canonical text, which is the same for equal selectors.

    Attributes:
        terms: Distinct terms, sorted by their text.
    """

    terms: tuple[Term, ...] = attrs.field(converter=_sorted_terms, default=())

    def matches(self, labels: model.Labels) -> bool:
        """Returns whether the labels match every term."""
        return all(term.matches(labels) for term in self.terms)

    def __str__(self) -> str:
        return ",".join(str(term) for term in self.terms)
