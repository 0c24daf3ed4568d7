"""Guards against odd messages of other writers that end or block a node.

A message is either rejected with a `FieldError` that names its field, or
everything that it is decoded to can be encoded for the log and for entries.
"""

import json

import hypothesis
from hypothesis import strategies
import pytest

from guavapulley import fleet
from guavapulley import model
from guavapulley.adapters import codec
from guavapulley_platform import _configuration
from guavapulley_platform import _fields
from guavapulley_platform import _header_codec
from guavapulley_platform import _instances
from tests.platform import messages

CODEC = codec.MessageCodec(fleet.CODEC_TYPES)
REPLACEMENT = {
    "version": 7,
    "base_version": 5,
    "resources": [
        {
            "resource_kind": "routes",
            "metadata": {"name": "r-1"},
            "spec": {
                "hostname": "shop.example",
                "path_prefix": "/a/",
                "type": "safe",
                "timeout_s": 1.5,
                "service": "one",
            },
        }
    ],
}


def nested(depth):
    value = 1
    for _ in range(depth):
        value = [value]
    return value


def decode(fields, upstream="i-1"):
    body = json.dumps(fields).encode()
    return _instances.decode_heartbeat(upstream, body, messages.REGIONS)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("sequence", 10**400),
        ("sequence", 2**70),
        ("sequence", -1),
        ("capacity", 2**70),
        ("capacity", 1e300),
        ("born", 2**64),
        ("cold_remaining_s", 1e308),
        ("cold_remaining_s", float("nan")),
        ("cold_remaining_s", float("inf")),
        ("service", "a\ud800"),
        ("service", "s" * 200_000),
        ("service", "a\nb"),
        ("address", "localhost:80"),
        ("address", "10.0.0.9:0"),
        ("address", "10.0.0.9:65536"),
        ("address", "10.0.0.9:²"),
        ("address", "10.0.0.9:" + "9" * 5_000),
        ("address", "::1:80"),
        ("version", nested(_fields.MAX_DEPTH + 1)),
    ],
)
def test_an_odd_announcement_names_no_upstream(field, value):
    with pytest.raises(_fields.FieldError):
        decode({**messages.HEARTBEAT, field: value})


@pytest.mark.parametrize("upstream", ["", "i" * 201, "i\0", "i\ud800"])
def test_an_odd_id_names_no_upstream(upstream):
    with pytest.raises(_fields.FieldError, match="id"):
        decode(messages.HEARTBEAT, upstream)
    with pytest.raises(_fields.FieldError, match="id"):
        _instances.decode_deregistration(upstream, b"")


@pytest.mark.parametrize("opening", [b"[", b'{"a":'])
@pytest.mark.parametrize("depth", [100, 900, 100_000])
def test_a_deeply_nested_body_is_rejected(opening, depth):
    closing = b"]" if opening == b"[" else b"}"
    body = b'{"x":' + opening * depth + b"1" + closing * depth + b"}"
    with pytest.raises(_fields.FieldError):
        _fields.parse(body)


def test_values_at_the_limits_are_accepted():
    record = decode(
        {
            **messages.HEARTBEAT,
            "service": "š" * _instances.MAX_NAME_CHARS,
            "address": "10.0.0.9:65535",
            "capacity": _instances.MAX_SLOTS,
            "sequence": _fields.MAX_INTEGER,
            "born": _instances.MAX_INCARNATION_MS,
            "cold_remaining_s": _instances.MAX_COLD_S,
            "version": nested(_fields.MAX_DEPTH - 2),
        }
    )
    command = model.ProposeCommand(model.RecordUpstream(record))
    assert CODEC.decode(CODEC.encode(command)) == command


@pytest.mark.parametrize(
    "change",
    [
        {"version": 2**70},
        {"version": 10**400},
        {"base_version": 1e300},
        {"resources": nested(40)},
        {"note": float("nan")},
        {"note": float("inf")},
    ],
)
def test_an_odd_configuration_is_rejected(change):
    body = json.dumps({**REPLACEMENT, **change}).encode()
    with pytest.raises(_fields.FieldError):
        _configuration.decode_replacement(body)


ODD_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from([2**63, 2**64, 10**400, -(2**70)])
    | strategies.floats()
    | strategies.text()
    | strategies.sampled_from(["\ud800", "10.0.0.1:99999", "\0", "x" * 10_000]),
    lambda children: (
        strategies.lists(children, max_size=3)
        | strategies.dictionaries(strategies.text(), children, max_size=3)
    ),
    max_leaves=8,
)

IDS = strategies.text() | strategies.just("i-1")


def odd_copy(draw, fields):
    """Returns a copy of an object in which some fields have odd values."""
    copy = dict(fields)
    names = strategies.sampled_from(sorted(fields))
    for name in draw(strategies.lists(names, max_size=3, unique=True)):
        if isinstance(copy[name], dict) and copy[name]:
            copy[name] = odd_copy(draw, copy[name])
        elif draw(strategies.booleans()):
            copy[name] = draw(ODD_VALUES)
        else:
            del copy[name]
    return copy


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(strategies.data())
def test_announcements_are_rejected_or_can_be_encoded(data):
    fields = odd_copy(data.draw, messages.HEARTBEAT)
    try:
        record = decode(fields, data.draw(IDS))
    except _fields.FieldError:
        return
    command = model.ProposeCommand(model.RecordUpstream(record))
    assert CODEC.decode(CODEC.encode(command)) == command


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(strategies.data())
def test_configurations_are_rejected_or_can_be_encoded_and_read(data):
    fields = odd_copy(data.draw, REPLACEMENT)
    if isinstance(fields.get("resources"), list) and data.draw(
        strategies.booleans()
    ):
        resource = REPLACEMENT["resources"][0]
        fields["resources"] = [odd_copy(data.draw, resource)]
    try:
        change = _configuration.decode_replacement(json.dumps(fields).encode())
    except _fields.FieldError:
        return
    command = model.ProposeCommand(model.ChangeRouting(change))
    assert CODEC.decode(CODEC.encode(command)) == command
    table = model.apply_routing_change(model.RoutingTable(), change)
    json.loads(json.dumps(_configuration.encode(table)))


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    strategies.sampled_from([200, 421, 500, 503]),
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ["Server-Load", "Server-Leaving", "Retry-After", "Request-Id"]
            ),
            strategies.text(
                strategies.characters(max_codepoint=255), max_size=30
            )
            | strategies.integers().map(str)
            | strategies.floats().map(str)
            | strategies.sampled_from(["9" * 5_000, "1,2,3", "1,0,9,1e9"]),
        )
    ),
)
def test_headers_of_answers_are_decoded_or_ignored(status, headers):
    head = model.AnswerHead(status, tuple(headers))
    metadata = _header_codec.PlatformHeaderCodec().answer_metadata(head)
    assert metadata.refusal_s is None or 0 <= metadata.refusal_s < float("inf")
    assert metadata.load is None or metadata.load.running >= 0
