"""JSON bodies of the entry API."""

import json
from typing import Any
from typing import TypeVar

import attrs
import cattrs.preconf.json

from guavapulley import model
from guavapulley import serving
from guavapulley.adapters.http import _errors

T = TypeVar("T")

_CONVERTER = cattrs.preconf.json.make_converter(forbid_extra_keys=True)


@attrs.frozen
class Renewal:
    """Body of the renewal of an upstream.

    Attributes:
        incarnation: Incarnation that was announced.
        sequence: Number of the renewal within the incarnation.
        load: Load of the upstream; None if it is not measured.
    """

    incarnation: int
    sequence: int
    load: model.LoadReport | None = None


def decode(body: bytes, value_type: type[T], **path_values: Any) -> T:
    """Decodes a JSON object.

    Args:
        body: JSON text.
        value_type: Class of the result.
        **path_values: Attributes given by the path. The body may omit them but
            must not contradict them.

    Raises:
        HttpError: The text does not encode such an object.
    """
    try:
        body_values = json.loads(body)
        values = {**body_values, **path_values}
        if any(values[key] != body_values[key] for key in body_values):
            raise ValueError("the body contradicts the path")
        return _CONVERTER.structure(values, value_type)
    except Exception as error:  # cattrs and json have no common error class
        reasons = cattrs.transform_error(error)
        raise _errors.HttpError(
            _errors.BAD_REQUEST,
            f"the body is no {value_type.__name__}",
            reasons=reasons,
        ) from error


def encode(value: object) -> Any:
    """Converts an attrs object to JSON-compatible data."""
    return _CONVERTER.unstructure(value)


def lookup_body(result: serving.LookupResult) -> dict[str, Any]:
    """Returns the body of the answer to a lookup."""
    return {
        "region": result.region,
        "lifetime_s": result.lifetime_s,
        "entries": [
            {
                "name": entry.name,
                "region": entry.region,
                "failure_domain": entry.failure_domain,
                "host": entry.address.host,
                "port": entry.address.port,
            }
            for entry in result.entries
        ],
    }


def outcome_body(outcome: model.StoredOutcome) -> dict[str, Any]:
    """Returns the body that describes an outcome.

    The bytes of the stored answer are decoded as Latin-1.
    """
    answer = outcome.answer
    return {
        "key": outcome.key,
        "outcome": outcome.kind.value,
        "entry": outcome.entry,
        "request_id": outcome.request_id,
        "claimed_at_s": outcome.claimed_at_s,
        "answer": answer
        and {
            "status": answer.head.status,
            "headers": answer.head.headers,
            "body": answer.body.decode("latin-1"),
        },
    }
