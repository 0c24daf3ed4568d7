"""JSON bodies of the entry's API."""

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
    """Body of a renewal.

    Attributes:
        incarnation: Incarnation that was announced.
        sequence: Renewals within the incarnation.
        load: Load of the upstream, if it is measured.
    """

    incarnation: int
    sequence: int
    load: model.LoadReport | None = None


def decode(body: bytes, wanted: type[T], **fixed: Any) -> T:
    """Decodes a JSON object.

    Args:
        body: JSON text.
        wanted: Class of the result.
        **fixed: Values that the path gives; the body may leave them out but
            must not differ.

    Raises:
        HttpError: The text is no such object.
    """
    try:
        found = json.loads(body)
        mixed = {**found, **fixed}
        if any(mixed[key] != found[key] for key in found):
            raise ValueError("the body contradicts the path")
        return _CONVERTER.structure(mixed, wanted)
    except Exception as error:  # cattrs and json share no base error
        reasons = cattrs.transform_error(error)
        raise _errors.HttpError(
            _errors.BAD_REQUEST,
            f"the body is no {wanted.__name__}",
            reasons=reasons,
        ) from error


def encode(value: object) -> Any:
    """Returns JSON-compatible data for an attrs object."""
    return _CONVERTER.unstructure(value)


def lookup_body(answer: serving.LookupResult) -> dict[str, Any]:
    """Returns the body of a lookup."""
    return {
        "region": answer.region,
        "lifetime_s": answer.lifetime_s,
        "entries": [
            {
                "name": entry.name,
                "region": entry.region,
                "failure_domain": entry.failure_domain,
                "host": entry.address.host,
                "port": entry.address.port,
            }
            for entry in answer.entries
        ],
    }


def outcome_body(outcome: model.StoredOutcome) -> dict[str, Any]:
    """Returns the body of an outcome; the answer's text is Latin-1."""
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
