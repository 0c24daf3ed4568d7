"""Validation of configurations."""

from collections.abc import Iterator
import ipaddress
import math

from guavapulley import errors
from guavapulley import model
from guavapulley import selectors

MAX_OBJECTS = 10_000
# Labels that the system sets; operators cannot override them.
AUTOMATIC_LABELS = ("service", "region", "failure_domain", "upstream")


def validate_configuration(configuration: model.Configuration) -> str:
    """Returns the first error of a configuration, or an empty string.

    >>> validate_configuration(model.Configuration(1, (
    ...     model.Intent("shift", "service = a", "region = za", 120.0),)))
    'intent shift: share 120.0 is not between 0 and 100'
    """
    if len(configuration.objects) > MAX_OBJECTS:
        return f"more than {MAX_OBJECTS} objects"
    messages = (
        f"{model.object_key(item).kind} {item.name}: {message}"
        for item in configuration.objects
        for message in _object_errors(item)
    )
    return next(messages, "")


def _object_errors(item: model.ConfigurationObject) -> Iterator[str]:
    if not item.name.strip():
        yield "the name is empty"
    match item:
        case model.Service():
            yield from _service_errors(item)
        case model.Intent():
            if not 0 <= item.share_percent <= 100:
                yield f"share {item.share_percent} is not between 0 and 100"
            yield from _selector_errors(item.requests)
            yield from _selector_errors(item.upstreams)
        case model.Drain():
            yield from _selector_errors(item.upstreams)
        case model.LabelOverride():
            yield from _selector_errors(item.upstreams)
            yield from _label_errors(item.labels)
        case model.RegionLimit():
            if item.max_in_flight < 0:
                yield "the limit of requests in flight is negative"
            if not 0 <= item.headroom_percent <= 100:
                yield "the headroom is not between 0 and 100 percent"
        case model.LinkCap():
            yield from _link_cap_errors(item)
        case model.ClientBlock():
            yield from _client_block_errors(item)


def _service_errors(item: model.Service) -> Iterator[str]:
    limits = (
        item.deadline_ms,
        item.max_request_bytes,
        item.max_answer_bytes,
        item.expected_answer_bytes,
    )
    if min(limits) <= 0:
        yield "deadline and sizes must be positive"


def _label_errors(labels: model.Labels) -> Iterator[str]:
    if len(labels) > model.MAX_LABELS:
        yield f"more than {model.MAX_LABELS} labels"
    for key, value in labels.items():
        if key in AUTOMATIC_LABELS:
            yield f"the automatic label {key} cannot be set"
        if not key or max(len(key), len(value)) > model.MAX_LABEL_CHARS:
            yield f"a label has 1 to {model.MAX_LABEL_CHARS} characters"


def _link_cap_errors(item: model.LinkCap) -> Iterator[str]:
    regions = item.name.split(" ")
    if len(regions) != 2 or regions[0] >= regions[1]:
        yield "the name must be two regions in alphabetic order"
    if not (item.mbit_per_s > 0 and math.isfinite(item.mbit_per_s)):
        yield "the cap must be positive and finite"
    if item.max_entries < 1:
        yield "the number of entries must be positive"


def _client_block_errors(item: model.ClientBlock) -> Iterator[str]:
    try:
        ipaddress.ip_network(item.name)
    except ValueError as error:
        yield str(error)


def _selector_errors(text: str) -> Iterator[str]:
    try:
        selectors.parse(text)
    except errors.GuavapulleyError as error:
        yield error.message
