"""Administration objects as JSON."""

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
        tag_generator=lambda kind: model.OBJECT_KINDS[kind],
        tag_name="kind",
    )
    # JSON has no infinity, which is the age of what never happened.
    converter.register_unstructure_hook(
        float, lambda value: value if math.isfinite(value) else str(value)
    )
    return converter


def to_json(value: object, kind: Any = None) -> Any:
    """Returns a value as JSON-compatible objects.

    >>> to_json(model.NodeAddress("127.0.0.1", 80))
    {'host': '127.0.0.1', 'port': 80}

    Args:
        value: Value of attrs classes.
        kind: Its type, if that is not its class.
    """
    return _converter().unstructure(value, unstructure_as=kind)


def from_json(body: Any, kind: type[T]) -> T:
    """Returns JSON-compatible objects as a value.

    Args:
        body: What `to_json` returned.
        kind: Type of the value.

    Raises:
        HttpError: The objects do not fit the type.
    """
    try:
        return _converter().structure(body, kind)
    except Exception as error:  # cattrs raises groups and plain errors
        raise _errors.HttpError(
            _errors.BAD_REQUEST,
            f"the JSON is no {getattr(kind, '__name__', kind)}:"
            f" {'; '.join(_reasons(error))}",
        ) from error


def _reasons(error: Exception) -> list[str]:
    return [str(reason) for reason in cattrs.transform_error(error)]


def parse_json(data: bytes) -> Any:
    """Parses JSON without the numbers that JSON lacks.

    Raises:
        HttpError: The bytes are no JSON.
    """
    try:
        return json.loads(data, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise _errors.HttpError(
            _errors.BAD_REQUEST, f"the body is no JSON: {error}"
        ) from error


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is no number")
