"""Guards against an administration API that accepts invalid requests."""

import json

import attrs
import pytest

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import http
from guavapulley.adapters import memory

TOKEN = "operator-token-0123456789"
CHANGE = {
    "request_id": "id-1",
    "base_revision": 0,
    "operator": "jana",
    "puts": [{"kind": "drain", "name": "rack-1", "upstreams": "rack = 1"}],
}


@attrs.define
class FakeReply:
    head: model.AnswerHead | None = None
    body: bytes = b""

    async def start(self, head):
        self.head = head

    async def write(self, chunk):
        self.body += chunk


@pytest.fixture
def call():
    frontend = http.AdminFrontend(
        memory.MemoryAdmin(), TOKEN, ports.NullEventLog()
    )

    async def send(method, path, body=b"", token=TOKEN, query=""):
        reply = FakeReply()
        headers = (("authorization", f"Bearer {token}"),)
        request = model.HttpRequest(method, path, query, headers, body)
        await frontend.handle(request, reply)
        return reply.head.status, json.loads(reply.body)

    return send


async def test_repeated_change_gets_the_first_verdict(call):
    body = json.dumps(CHANGE).encode()
    first = await call("POST", "/v1/admin/changes", body)
    repeated = await call("POST", "/v1/admin/changes", body)
    assert first == repeated
    assert first[0] == 200
    assert first[1]["kind"] == "accepted"


async def test_conflict_has_status_409(call):
    body = json.dumps(CHANGE | {"base_revision": 5}).encode()
    status, verdict = await call("POST", "/v1/admin/changes", body)
    assert (status, verdict["kind"]) == (409, "conflict")


REFUSED_REQUESTS = [
    ({"token": ""}, "NOT_AUTHORIZED"),
    ({"token": TOKEN[:-1]}, "NOT_AUTHORIZED"),
    ({"path": "/v1/admin/nothing"}, "NOT_FOUND"),
    ({"method": "DELETE"}, "METHOD_NOT_ALLOWED"),
    ({"body": b"{"}, "BAD_REQUEST"),
    ({"body": b"[" * 100_000}, "BAD_REQUEST"),
    ({"body": b"[]"}, "BAD_REQUEST"),
    ({"change": {"base_revision": float("nan")}}, "BAD_REQUEST"),
    ({"change": {"surprise": 1}}, "BAD_REQUEST"),
    ({"change": {"puts": [{"kind": "rule", "name": "x"}]}}, "BAD_REQUEST"),
    ({"change": {"puts": []}}, "CHANGE_INVALID"),
    ({"change": {"puts": CHANGE["puts"] * 2}}, "CHANGE_INVALID"),
    ({"change": {"request_id": ""}}, "CHANGE_INVALID"),
    ({"change": {"request_id": "a b"}}, "CHANGE_INVALID"),
    ({"change": {"comment": "x" * 2000}}, "CHANGE_INVALID"),
    (
        {"change": {"deletes": [{"kind": "rule", "name": "x"}]}},
        "CHANGE_INVALID",
    ),
    (
        {"change": {"puts": [CHANGE["puts"][0] | {"upstreams": ""}]}},
        "CHANGE_INVALID",
    ),
]


@pytest.mark.parametrize("case, code", REFUSED_REQUESTS)
async def test_invalid_change_request_is_refused(call, case, code):
    body = json.dumps(CHANGE | case.get("change", {})).encode()
    with pytest.raises(errors.GuavapulleyError) as raised:
        await call(
            case.get("method", "POST"),
            case.get("path", "/v1/admin/changes"),
            case.get("body", body),
            case.get("token", TOKEN),
        )
    assert raised.value.code == code
    assert raised.value.not_run


@pytest.mark.parametrize(
    "path, query, code",
    [
        ("history", "limit=x", "BAD_REQUEST"),
        ("revisions/-1", "", "BAD_REQUEST"),
        ("outcomes", "service=a", "BAD_REQUEST"),
        ("outcomes", "service=a&key=b", "KEY_UNKNOWN"),
        ("requests/r1", "", "REQUEST_UNKNOWN"),
    ],
)
async def test_unanswerable_read_is_refused(call, path, query, code):
    with pytest.raises(errors.GuavapulleyError) as raised:
        await call("GET", f"/v1/admin/{path}", query=query)
    assert raised.value.code == code


def test_empty_operator_token_is_rejected():
    with pytest.raises(ValueError):
        http.AdminFrontend(memory.MemoryAdmin(), "", ports.NullEventLog())
