"""Guards against explanations with the wrong cause of a failure."""

import json
import pathlib

from click import testing
import pytest

from guavapulley.programs import _cli

NOON_S = 1_796_385_600.0
UPSTREAM = "stock-1"


class Logs:
    """Log file of two edges and a core, as a log collector writes it."""

    def __init__(self, folder):
        self.path = folder / "all.log"
        self.clock = 0
        self.lines = []

    def add(self, node, event, at_s, **fields):
        self.clock += 1
        record = fields | {
            "node": node,
            "role": node.split("-")[0],
            "clock": self.clock,
            "sequence": self.clock,
            "timestamp": NOON_S + at_s,
            "message_type": event,
        }
        self.lines.append(f"{at_s:9.4f} {node} {json.dumps(record)}\n")

    def request(self, request_id, at_s, *sends, node="edge-1", **fields):
        """Adds the end event of a request, with its arrival time and sends."""
        request_fields = {
            "request_id": request_id,
            "route": "shop",
            "service": "stock",
            "key": "7",
            "status": 504,
            "version": 4,
            "waited_s": 0.0,
            "total_s": 1.2,
            "sends": list(sends),
        } | fields
        event = "request:failed"
        if request_fields["status"] is None:
            event = "request:abandoned"
        elif request_fields["status"] < 400:
            event = "request:answered"
        self.add(
            node, event, at_s + request_fields["total_s"], **request_fields
        )

    def explain(self, request_id):
        self.path.write_text("".join(self.lines) + "a torn li")
        arguments = ["explain", request_id, str(self.path)]
        result = testing.CliRunner().invoke(_cli.cli, arguments)
        assert result.exit_code == 0, result.output
        return result.stdout


@pytest.fixture
def logs(tmp_path):
    return Logs(pathlib.Path(tmp_path))


def make_send(at_s=0.0, took_s=1.2, **fields):
    return {
        "upstream": UPSTREAM,
        "at_s": at_s,
        "load": 1.0,
        "load_age_s": 0.4,
        "speed": 1.0,
        "failures": 0.0,
        "cold": False,
        "warm": True,
        "took_s": took_s,
    } | fields


def make_answered_send(took_s=0.1, **fields):
    answer_fields = {"status": 200, "running": 1, "queued": 0, "slowdown": 1.0}
    return make_send(took_s=took_s, **answer_fields | fields)


UNANSWERED = "stock-1 gave no answer within 1.20 s; "
CAUSES = {
    "long": (
        [make_send()],
        {},
        [make_answered_send()],
        UNANSWERED + "long-running request, as others",
    ),
    "not warm": (
        [make_send(warm=False)],
        {},
        [make_answered_send()],
        UNANSWERED + "long-running request, on an object that was not warm",
    ),
    "slow": (
        [make_send()],
        {},
        [make_answered_send(slowdown=2.5)],
        UNANSWERED + "it was slow (2.5 times",
    ),
    "full": (
        [make_send()],
        {},
        [make_answered_send(queued=4)],
        UNANSWERED + "4 requests were queued there",
    ),
    "cold": (
        [make_send(cold=True)],
        {},
        [make_answered_send()],
        UNANSWERED + "it had just started",
    ),
    "late caller": (
        [make_send(took_s=0.08)],
        {"allowed_s": 0.08, "total_s": 0.08},
        [make_answered_send()],
        "stock-1 gave no answer within 0.08 s; its caller allowed only 0.08 s",
    ),
    "hangs": (
        [make_send()],
        {},
        [make_send(took_s=1.0)] * 3,
        "stock-1 gave no answer within 1.20 s, nor to 3 others",
    ),
    "two long ones": (
        [make_send()],
        {},
        [make_send(took_s=1.0)],
        UNANSWERED + "long-running request",
    ),
    "failed there": (
        [make_answered_send(status=500)],
        {"status": 500},
        [make_answered_send()],
        "stock-1 itself answered 500\n",
    ),
    "given up there": (
        [make_answered_send(status=504, queued=0)],
        {"status": 504},
        [make_answered_send()],
        "stock-1 itself answered 504; long-running request",
    ),
    "no room": (
        [],
        {
            "status": 503,
            "code": "NO_ROOM",
            "reason": "no upstream has room",
            "exclusions": {"full": 3, "evacuated": 2},
        },
        [],
        "NO_ROOM: no upstream has room (upstreams: 2 evacuated, 3 full)",
    ),
    "left": (
        [make_send(took_s=0.3)],
        {"status": None, "total_s": 0.3},
        [make_answered_send()],
        "its caller disconnected after 0.30 s without an answer of stock-1;"
        " long-running request, as others were answered as usual",
    ),
    "left a full one": (
        [make_send(took_s=0.3)],
        {"status": None, "total_s": 0.3},
        [make_answered_send(queued=4)],
        "its caller disconnected after 0.30 s without an answer of stock-1;"
        " 4 requests",
    ),
    "left one that hangs": (
        [make_send(took_s=0.3)],
        {"status": None, "total_s": 0.3},
        [make_send(took_s=0.3)] * 3,
        "its caller disconnected after 0.30 s without an answer of stock-1,"
        " which answered no other request: it hangs or is partitioned",
    ),
    "served": (
        [make_answered_send()],
        {"status": 200},
        [],
        "none, it was answered",
    ),
}


@pytest.mark.parametrize("name", CAUSES)
def test_cause_is_named(name, logs):
    sends, fields, others, cause = CAUSES[name]
    logs.request("r1", 5.0, *sends, **fields)
    for number, other in enumerate(others):
        status = other.get("status", 504)
        logs.request(
            f"other-{number}",
            5.0,
            other,
            node="edge-2",
            status=status,
            total_s=other["took_s"],
        )
    assert f"cause     {cause}" in logs.explain("r1")


def test_broken_answer_reports_its_reason(logs):
    logs.add(
        "edge-1",
        "upstream:failed",
        5.1,
        request_id="r1",
        upstream=UPSTREAM,
        code="UPSTREAM_BROKEN",
        reason="the connection ended within the body",
    )
    logs.request("r1", 5.0, make_send(took_s=0.1), status=502, total_s=0.1)
    assert "the connection ended within the body" in logs.explain("r1")


def test_an_ambiguous_refusal_is_named_as_the_cause(logs):
    # The upstream's status was named, which the caller had not got.
    logs.add(
        "edge-1",
        "upstream:ambiguous_refusal",
        0.1,
        request_id="r1",
        upstream=UPSTREAM,
        status=503,
    )
    logs.request(
        "r1",
        0.0,
        make_answered_send(status=503),
        status=502,
        code="NO_WHOLE_ANSWER",
    )
    assert (
        "stock-1 answered 503 without stating that the request had not run"
        in logs.explain("r1")
    )


def test_stopping_entry_may_have_ended_the_request(logs):
    logs.add("edge-1", "edge:stopping", 4.0, running=1)
    logs.request("r1", 5.0, make_send(took_s=0.3), status=None, total_s=0.3)
    assert "its caller disconnected or its entry ended" in logs.explain("r1")


def test_missing_request_is_reported(logs):
    logs.request("r1", 5.0, make_answered_send(), status=200)
    assert "no process logged an answer" in logs.explain("r2")


def test_outdated_state_of_an_edge_is_reported_with_its_age(logs):
    # The edge has an older version than the decided one, and an old load and
    # speed.
    logs.add("core-1", "fleet:decided", 4.2, version=5, accepted=True)
    logs.request(
        "r1", 5.0, make_answered_send(took_s=1.2, queued=6, slowdown=2.5)
    )
    text = logs.explain("r1")
    assert "routing version 4: version 5 was in force 0.80 s before" in text
    assert "load of stock-1: 1.0, 0.40 s old; it stated 7" in text
    assert "speed of stock-1: 1.0 times the usual duration" in text


def test_explanation_covers_one_request_only(logs, golden):
    logs.add(
        "edge-1",
        "upstream:learned",
        4.0,
        upstream=UPSTREAM,
        address="10.1.0.4:80",
        state="ready",
    )
    logs.add("edge-1", "fleet:applied", 4.5, version=4, index=12)
    logs.add("edge-2", "fleet:applied", 4.5, version=4, index=12)
    logs.request(
        "r1", 5.0, make_send(), waited_s=0.02, code="TIMED_OUT", reason="-"
    )
    logs.request(
        "r2", 5.5, make_answered_send(), node="edge-2", status=200, total_s=0.1
    )
    golden("explain.txt", logs.explain("r1"))
