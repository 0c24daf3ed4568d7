"""Conversion of administration objects to and from JSON."""

import functools
import json
import math
from typing import Any
from typing import TypeVar

from cattrs import strategies
import cattrs.preconf.json

from guavapulley import model
from guavapulley.adapters.http import _errors

T = TypeVar("T")


@functools.cache
def _converter() -> cattrs.Converter:
    converter = cattrs.preconf.json.make_converter(forbid_extra_keys=True)
    strategies.configure_tagged_union(
        model.ConfigurationObject,
        converter,
        tag_generator=lambda object_type: model.OBJECT_KINDS[object_type],
        tag_name="kind",
    )
    # JSON has no infinity, which stands for the age of an event that never
    # happened.
    converter.register_unstructure_hook(
        float, lambda value: value if math.isfinite(value) else str(value)
    )
    return converter


def to_json(value: object, value_type: Any = None) -> Any:
    """Converts a value to JSON-compatible objects.

    >>> to_json(model.NodeAddress("127.0.0.1", 80))
    {'host': '127.0.0.1', 'port': 80}

    Args:
        value: Instance or collection of attrs classes.
        value_type: Type of the value if it differs from its class, such as a
            tuple with an element type.
    """
    return _converter().unstructure(value, unstructure_as=value_type)


def from_json(body: Any, value_type: type[T]) -> T:
    """Converts JSON-compatible objects to a value.

    Args:
        body: Objects in the form that `to_json` returns.
        value_type: Type of the result.

    Raises:
        HttpError: The objects do not match the type.
    """
    try:
        return _converter().structure(body, value_type)
    except Exception as error:  # cattrs raises groups and single errors
        raise _errors.HttpError(
            _errors.BAD_REQUEST,
            "the JSON is no"
            f" {getattr(value_type, '__name__', value_type)}:"
            f" {'; '.join(_error_messages(error))}",
        ) from error


def _error_messages(error: Exception) -> list[str]:
    return [str(message) for message in cattrs.transform_error(error)]


def parse_json(data: bytes) -> Any:
    """Parses JSON; rejects NaN and infinity, which Python accepts.

    Raises:
        HttpError: The bytes are not valid JSON.
    """
    try:
        return json.loads(data, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise _errors.HttpError(
            _errors.BAD_REQUEST, f"the body is no JSON: {error}"
        ) from error


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is no number")
