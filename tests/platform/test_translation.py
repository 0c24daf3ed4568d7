"""Guards against misinterpreted messages and settings of the platform."""

import json

import pytest

from guavapulley import model
from guavapulley_platform import _configuration
from guavapulley_platform import _fields
from guavapulley_platform import _header_codec
from guavapulley_platform import _instances
from guavapulley_platform import _settings
from tests.platform import messages

ROUTE = {
    "resource_kind": "routes",
    "metadata": {"name": "r-1"},
    "spec": {
        "hostname": "Shop.example",
        "path_prefix": "/a/",
        "type": "non_idempotent",
        "timeout_s": 1.5,
        "target_latency_s": 0.6,
        "priority": 2,
        "traffic_split": [
            {"service": "one", "weight": 90},
            {"service": "two", "weight": 10},
        ],
        "max_attempts": 2,
        "session_affinity": True,
        "allowed_regions": ["pb"],
        "future": {"x": 1},
    },
}
SERVICE = {
    "resource_kind": "services",
    "metadata": {"name": "one"},
    "spec": {
        "health_path": "/health",
        "max_connections": 330,
        "cold_start_s": 3.0,
        "cold_per_s": 5.7,
    },
}
LIMITS = {
    "resource_kind": "limits",
    "metadata": {},
    "spec": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1024,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
}
REPLACEMENT = {
    "version": 7,
    "base_version": 5,
    "resources": [ROUTE, SERVICE, LIMITS],
}


def body(fields):
    return json.dumps(fields).encode()


def test_a_configuration_is_decoded_and_encoded_completely():
    change = _configuration.decode_replacement(body(REPLACEMENT))
    route = change.routes[0]
    assert (change.version, change.base_version) == (7, 5)
    assert route.host == "shop.example"
    assert route.repeatability is model.Repeatability.ONCE
    assert route.destinations == (
        model.Destination("one", 90),
        model.Destination("two", 10),
    )
    assert (route.timeout_s, route.target_latency_s) == (1.5, 0.6)
    assert (route.max_attempts, route.affinity) == (2, True)
    assert route.regions == ("pb",)
    assert change.services[0].cold_rate_per_s == 5.7
    assert change.limits.idle_timeout_s == 15
    table = model.apply_routing_change(model.RoutingTable(), change)
    assert _configuration.encode(table) == {
        "version": 7,
        "resources": REPLACEMENT["resources"],
    }


def test_an_update_lists_changed_and_removed_resources():
    change = _configuration.decode_update(
        body(
            {
                "version": 9,
                "base_version": 7,
                "upsert": {"resources": [SERVICE]},
                "remove": {"routes": ["r-1"]},
            }
        )
    )
    assert not change.replace
    assert change.removed_routes == ("r-1",)
    assert [service.name for service in change.services] == ["one"]


def test_equal_content_has_the_same_hash_in_any_layout():
    first = _configuration.decode_replacement(
        json.dumps(REPLACEMENT, indent=2).encode()
    )
    second = _configuration.decode_replacement(body(REPLACEMENT))
    other = _configuration.decode_replacement(
        body({**REPLACEMENT, "version": 8})
    )
    assert first.content_hash == second.content_hash != other.content_hash


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("hostname", 3),
        ("path_prefix", None),
        ("type", "other"),
        ("timeout_s", "1.5"),
        ("timeout_s", True),
        ("traffic_split", [{"service": "one"}]),
        ("max_attempts", 1.5),
    ],
)
def test_an_invalid_route_is_named_in_the_error(field, value):
    spec = {**ROUTE["spec"], field: value}
    broken = {**REPLACEMENT, "resources": [{**ROUTE, "spec": spec}]}
    with pytest.raises(_fields.FieldError, match="r-1"):
        _configuration.decode_replacement(body(broken))


@pytest.mark.parametrize(
    "data", [b"", b"[]", body(REPLACEMENT)[:-20], b"\xff", b"{}"]
)
def test_a_truncated_or_empty_configuration_is_rejected(data):
    with pytest.raises(_fields.FieldError):
        _configuration.decode_replacement(data)


def test_a_heartbeat_is_decoded_to_a_record():
    record = _instances.decode_heartbeat(
        "i-1", body(messages.HEARTBEAT), messages.REGIONS
    )
    assert record == model.UpstreamRecord(
        upstream="i-1",
        service="one",
        address=model.NodeAddress("10.0.0.9", 8080),
        region="pb",
        failure_domain="pb-1",
        slots=7,
        max_connections=0,
        incarnation=1700000000000,
        sequence=4,
        cold_s=1.5,
    )


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("service", None),
        ("address", "10.0.0.9"),
        ("address", ["10.0.0.9:80"]),
        ("zone", "nowhere"),
        ("capacity", "7"),
        ("state", "sleeping"),
        ("cold_remaining_s", None),
        ("sequence", 1.5),
        ("born", "soon"),
        ("born", None),
    ],
)
def test_a_heartbeat_with_an_invalid_field_is_rejected(field, value):
    broken = {**messages.HEARTBEAT, field: value}
    with pytest.raises(_fields.FieldError):
        _instances.decode_heartbeat("i-1", body(broken), messages.REGIONS)


def test_headers_state_deadline_affinity_and_load():
    header_codec = _header_codec.PlatformHeaderCodec()
    request = model.HttpRequest(
        "GET",
        "/x",
        headers=(
            ("Host", "h"),
            ("Request-Id", "7"),
            ("Deadline-Ms", "2500"),
            ("Affinity-Key", "17"),
            ("Expect-Instance", "forged"),
            ("Connection", "X-Hop"),
            ("X-Hop", "1"),
        ),
    )
    caller = header_codec.caller_metadata(request)
    assert (caller.request_id, caller.caller_timeout_s) == ("7", 2.5)
    assert caller.affinity_key == "17"
    record = _instances.decode_heartbeat(
        "i-1", body(messages.HEARTBEAT), messages.REGIONS
    )
    assert header_codec.request_headers(request, 1.25, record) == (
        ("Host", "h"),
        ("Request-Id", "7"),
        ("Affinity-Key", "17"),
        ("Deadline-Ms", "1250"),
        ("Expect-Instance", "i-1"),
    )
    head = model.AnswerHead(
        503, (("Server-Load", "3,1,8,250"), ("Not-Executed", "1"))
    )
    answer = header_codec.answer_metadata(head)
    assert answer.not_run
    assert not answer.incarnation_mismatch
    assert (answer.load.running, answer.load.queued) == (3, 1)
    assert (answer.load.slots, answer.load.slowdown_factor) == (8, 2.5)


@pytest.mark.parametrize(
    ("status", "headers", "leaving", "refusal_s", "unreadable"),
    [
        (200, {}, False, None, ()),
        (200, {"Server-Leaving": "1"}, True, None, ()),
        (404, {"server-leaving": " 1 "}, True, None, ()),
        (200, {"Server-Leaving": "0"}, False, None, ()),
        (200, {"Server-Leaving": "soon"}, False, None, ("server-leaving",)),
        (503, {"Retry-After": "1.5"}, False, 1.5, ()),
        (503, {"Retry-After": "0"}, False, 0.0, ()),
        (200, {"Retry-After": "1.5"}, False, None, ()),
        (503, {"Retry-After": "-1"}, False, None, ("retry-after",)),
        (503, {"Retry-After": "1e999"}, False, None, ("retry-after",)),
        (503, {"Retry-After": "nan"}, False, None, ("retry-after",)),
        (503, {"Retry-After": ""}, False, None, ("retry-after",)),
        (
            503,
            {"Retry-After": "Fri, 31 Dec 1999 23:59:59 GMT"},
            False,
            None,
            ("retry-after",),
        ),
    ],
)
def test_a_leaving_or_refusing_upstream_is_heard_from_its_answers(
    status, headers, leaving, refusal_s, unreadable
):
    head = model.AnswerHead(status, tuple(headers.items()))
    answer = _header_codec.PlatformHeaderCodec().answer_metadata(head)
    assert (answer.leaving, answer.refusal_s) == (leaving, refusal_s)
    assert answer.unreadable_headers == unreadable


@pytest.mark.parametrize("timeout", ["nan", "1e999", "soon", ""])
def test_an_invalid_deadline_is_ignored(timeout):
    request = model.HttpRequest("GET", "/", headers=(("Deadline-Ms", timeout),))
    caller = _header_codec.PlatformHeaderCodec().caller_metadata(request)
    assert caller.caller_timeout_s is None


@pytest.mark.parametrize(
    "load", ["", "3", "a,b,c", "3,0", "-1,0,9", f"{10**400},0,9", "3,0,9,-5"]
)
def test_an_invalid_load_is_ignored(load):
    head = model.AnswerHead(200, (("Server-Load", load),))
    assert (
        _header_codec.PlatformHeaderCodec().answer_metadata(head).load is None
    )


def test_settings_of_the_platform_are_decoded():
    settings = _settings.decode(
        {
            "node_name": "core-1",
            "role": "core",
            "region": "pb",
            "zone": "pb-1",
            "zones": messages.REGIONS,
            "ip": "10.1.0.36",
            "internal_ports": [7540, 7555],
            "seed_nodes": ["10.1.0.36:8544", "10.2.0.36:8544"],
            "bootstrap": True,
            "data_dir": "/data/core",
            "fault_tolerance": {"machines": 2},
            "bounds": {
                "grace_s": 6,
                "ttl_max_s": 5,
                "retry_budget_ratio": 0.2,
                "retry_slack": 56,
                "retry_window_s": 10,
                "cold_factor": 1.5,
                "cold_slack": 5,
            },
            "listen_addrs": {"control_plane": "10.1.0.36:8544"},
            "unknown": 1,
        }
    )
    assert settings.peer_address == model.NodeAddress("10.1.0.36", 7540)
    assert settings.seeds[1] == model.NodeAddress("10.2.0.36", 7540)
    assert settings.control_address == model.NodeAddress("10.1.0.36", 8544)
    assert settings.callers_address is None
    assert settings.max_lost_disks == 2


@pytest.mark.parametrize(
    ("status", "reports_not_run", "not_run", "implies_not_run"),
    [
        (200, False, False, False),
        (400, True, True, False),
        (408, False, False, True),
        (421, False, True, True),
        (429, False, False, True),
        (429, True, True, True),
        (500, False, False, False),
        (502, False, False, False),
        (503, False, False, True),
        (503, True, True, True),
        (504, False, False, False),
    ],
)
def test_only_what_an_upstream_reports_counts_as_not_run(
    status, reports_not_run, not_run, implies_not_run
):
    headers = (("Not-Executed", "1"),) if reports_not_run else ()
    metadata = _header_codec.PlatformHeaderCodec().answer_metadata(
        model.AnswerHead(status, headers)
    )
    assert metadata.not_run is not_run
    assert metadata.implies_not_run is implies_not_run
