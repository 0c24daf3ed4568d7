"""Selectors and their terms."""

from typing import Protocol

import attrs

from guavapulley import model


class Term(Protocol):
    """One condition on the labels of an upstream or a request."""

    @property
    def key(self) -> str:
        """Label that the condition is about."""

    def matches(self, labels: model.Labels) -> bool:
        """Returns whether the labels meet the condition."""


def _sorted_values(values: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(sorted(set(values)))


@attrs.frozen
class OneOf:
    """The label exists and has one of the values."""

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
    """The label has none of the values; it may be absent."""

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
    """The label exists."""

    key: str

    def matches(self, labels: model.Labels) -> bool:
        """Returns whether the labels meet the condition."""
        return self.key in labels

    def __str__(self) -> str:
        return self.key


@attrs.frozen
class Absent:
    """The label does not exist."""

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
    """Terms that must all hold; without terms it matches everything.

    `str` gives the canonical text: equal selectors have equal texts.

    Attributes:
        terms: Different terms in the order of their texts.
    """

    terms: tuple[Term, ...] = attrs.field(converter=_sorted_terms, default=())

    def matches(self, labels: model.Labels) -> bool:
        """Returns whether the labels meet every term."""
        return all(term.matches(labels) for term in self.terms)

    def __str__(self) -> str:
        return ",".join(str(term) for term in self.terms)
