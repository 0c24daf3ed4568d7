"""Guards against false promises that a request has not run.

Callers send a request again after some statuses, also one that may run only
once. An upstream may answer with such a status after it has run the request.
"""

import attrs
import pytest

from tests.forwarding import conftest as support

REFUSED = support.status(503, refused="1")
FAILED = support.status(500)
NOT_RUN_STATUSES = support.NOT_RUN_STATUSES


def start(harness, first, second, **route_changes):
    """Sets the outcomes of the first and of the second send."""
    route = attrs.evolve(support.ROUTE, **route_changes)
    harness.apply_state(
        support.make_record("u1"), support.make_record("u2"), route=route
    )

    class Outcomes(dict):
        def get(self, name, default):
            return [first if len(harness.client.sent) == 1 else second]

    harness.client.outcomes = Outcomes()


def ambiguous(status):
    """Returns an answer that does not state that the request has not run."""
    signature = {"Response-Signature": "1", "Retry-After": "0.1"}
    return support.status(status, **signature)


@pytest.mark.parametrize("path", ["/x", "/once/x"])
@pytest.mark.parametrize("first", [None, REFUSED, support.UNREACHED])
@pytest.mark.parametrize("status", NOT_RUN_STATUSES)
async def test_a_request_that_may_have_run_is_not_answered_with_a_promise(
    autojump_clock, harness, recorder, status, first, path
):
    # Orders ran twice, as callers sent them again.
    start(harness, first or ambiguous(status), ambiguous(status))
    answer = await harness.send_request(path)
    assert answer.head.status == 502
    assert b'"not_run": false' in answer.body
    assert not {"Response-Signature", "Retry-After"} & set(
        dict(answer.head.headers)
    )
    sends = 1 if first is None and path == "/once/x" else 2
    assert len(harness.sent_to()) == sends
    assert "upstream:ambiguous_refusal" in [
        event for event, _ in recorder.recorded
    ]


@pytest.mark.parametrize("status", NOT_RUN_STATUSES)
async def test_an_idempotent_request_is_served_by_another_upstream(
    autojump_clock, harness, status
):
    start(harness, ambiguous(status), support.ok())
    assert (await harness.send_request("/x")).head.status == 200
    assert sorted(harness.sent_to()) == ["u1", "u2"]


@pytest.mark.parametrize("status", NOT_RUN_STATUSES)
@pytest.mark.parametrize(
    ("second", "expected"), [(REFUSED, 502), ("hang", 504)]
)
async def test_a_retry_that_does_not_run_is_no_promise_for_the_first_send(
    autojump_clock, harness, status, second, expected
):
    start(harness, ambiguous(status), second)
    answer = await harness.send_request("/x")
    assert answer.head.status == expected
    assert len(harness.sent_to()) == 2


@pytest.mark.parametrize("status", NOT_RUN_STATUSES)
async def test_a_failure_is_not_replaced_by_the_promise_of_the_retry(
    autojump_clock, harness, status
):
    start(harness, FAILED, ambiguous(status))
    assert (await harness.send_request("/x")).head.status == 500
    assert len(harness.sent_to()) == 2


@pytest.mark.parametrize("status", NOT_RUN_STATUSES)
async def test_a_request_without_attempts_left_gets_no_promise(
    autojump_clock, harness, status
):
    start(harness, ambiguous(status), support.ok(), max_attempts=1)
    assert (await harness.send_request("/x")).head.status == 502
    assert len(harness.sent_to()) == 1


async def test_an_order_that_did_not_run_is_served_by_another_upstream(
    autojump_clock, harness
):
    start(harness, REFUSED, support.ok())
    assert (await harness.send_request("/once/x")).head.status == 200
    assert len(harness.sent_to()) == 2
