"""Explains why a request was not served, from its trace."""

from collections.abc import Iterator
import statistics

from guavapulley.programs import _request_trace

# Number of requests by which a stated load must exceed the believed load to be
# reported.
MIN_LOAD_DIFFERENCE = 3
# A load stated within this time of the start of a send is taken as the load at
# its start.
MAX_STATEMENT_OFFSET_S = 0.3
# Callers that allow less time are repeating a request within the rest of their
# own deadline.
SHORT_TIMEOUT_S = 0.2
# An upstream with long requests can leave a few unanswered at once; more mean
# that it hangs.
MIN_UNANSWERED_WHEN_HANGING = 3
TIMED_OUT_STATUS = 504
# An upstream is reported as slow at this multiple of its usual duration.
SLOW_FACTOR = 1.5


def wrong_beliefs(trace: _request_trace.RequestTrace) -> Iterator[str]:
    """Yields the beliefs of the entry that other events contradict."""
    version = trace.end_field("version")
    newest = trace.newest_version
    if newest is not None and isinstance(version, int) and version < newest[0]:
        yield (
            f"routing version {version}: version {newest[0]} was in force"
            f" {trace.arrived_s - newest[1]:.2f} s before the request arrived"
        )
    for send in trace.sends:
        yield from _wrong_beliefs_at_send(send, trace)


def _wrong_beliefs_at_send(
    send: _request_trace.Send, trace: _request_trace.RequestTrace
) -> Iterator[str]:
    believed, age_s = send.fields.get("load"), send.fields.get("load_age_s")
    stated = send.stated_load()
    # The stated load includes this request.
    if (
        stated is not None
        and stated - 1 - (believed or 0) >= MIN_LOAD_DIFFERENCE
    ):
        age_text = "never stated" if age_s is None else f"{age_s:.2f} s old"
        yield (
            f"load of {send.upstream}: {believed}, {age_text}; it stated"
            f" {stated} with the answer"
        )
    slowdown = _stated_slowdown(send, trace)
    speed = send.fields.get("speed") or 1.0
    if slowdown is not None and slowdown >= SLOW_FACTOR > speed:
        yield (
            f"speed of {send.upstream}: {speed} times the usual duration; it"
            f" stated {slowdown}"
        )


def _stated_slowdown(
    send: _request_trace.Send, trace: _request_trace.RequestTrace
) -> float | None:
    """Returns the stated slowdown, or the median of concurrent statements."""
    stated: float | None = send.fields.get("slowdown")
    if stated:
        return stated
    slowdowns = [
        float(other.fields["slowdown"])
        for other in trace.other_sends_to_same_upstream(send)
        if other.fields.get("slowdown") is not None and other.overlaps(send)
    ]
    return statistics.median(slowdowns) if slowdowns else None


def _max_queued_at_start(
    send: _request_trace.Send, trace: _request_trace.RequestTrace
) -> int:
    """Returns the longest queue that was stated near the start of a send."""
    queue_lengths = [
        int(other.fields.get("queued") or 0)
        for other in trace.other_sends_to_same_upstream(send)
        if abs(other.ended_s - send.started_s) <= MAX_STATEMENT_OFFSET_S
    ]
    return max(queue_lengths, default=0)


def find_cause(trace: _request_trace.RequestTrace) -> str:
    """Returns the cause of a failure, as far as the logs show it.

    The rules are tried in order; the first that applies gives the cause.
    """
    causes = (rule(trace) for rule in _RULES)
    return next(
        (reason for reason in causes if reason is not None),
        "not known from these logs",
    )


def _explain_missing_end(trace: _request_trace.RequestTrace) -> str | None:
    if trace.end_event is not None:
        return None
    return (
        "no process logged an answer: the request reached no entry, its entry"
        " ended first, or the log line is missing"
    )


def _explain_abandoned(trace: _request_trace.RequestTrace) -> str | None:
    if trace.end_event is None or trace.end_event.name != "request:abandoned":
        return None
    total_s = float(trace.end_field("total_s") or 0.0)
    upstream_text = ""
    if trace.sends:
        send = trace.sends[-1]
        upstream_text = f" without an answer of {send.upstream}"
        if _is_hanging(send, trace):
            upstream_text += (
                ", which answered no other request: it hangs or is partitioned"
            )
        else:
            upstream_text += _describe_upstream(send, trace)
    entry_stopped = any(
        event.name == "edge:stopping" for event in trace.belief_changes
    )
    subject = (
        "its caller disconnected or its entry ended"
        if entry_stopped
        else "its caller disconnected"
    )
    return f"{subject} after {total_s:.2f} s{upstream_text}"


def _is_hanging(
    send: _request_trace.Send, trace: _request_trace.RequestTrace
) -> bool:
    """Returns whether several other sends got no answer, and none got one."""
    other_sends = trace.other_sends_to_same_upstream(send)
    return len(other_sends) >= MIN_UNANSWERED_WHEN_HANGING and not any(
        other.is_answered() for other in other_sends
    )


def _explain_success(trace: _request_trace.RequestTrace) -> str | None:
    return "none, it was answered" if trace.status() < 400 else None


def _explain_entry_error(trace: _request_trace.RequestTrace) -> str | None:
    code = trace.end_field("code")
    if code in (None, "TIMED_OUT", "NO_WHOLE_ANSWER"):
        return None
    reason = f"{code}: {trace.end_field('reason')}"
    exclusions = trace.end_field("exclusions")
    if exclusions:
        exclusion_text = ", ".join(
            f"{count} {name}" for name, count in sorted(exclusions.items())
        )
        reason += f" (upstreams: {exclusion_text})"
    return reason


def _explain_broken_answer(trace: _request_trace.RequestTrace) -> str | None:
    failures = [
        event
        for event in trace.request_events
        if event.name == "upstream:failed"
    ]
    if not failures or trace.end_field("code") == "TIMED_OUT":
        return None
    last_fields = failures[-1].fields
    return (
        f"{last_fields.get('upstream')} gave no complete answer:"
        f" {last_fields.get('reason')}"
    )


def _explain_ambiguous_refusal(
    trace: _request_trace.RequestTrace,
) -> str | None:
    refusals = [
        event
        for event in trace.request_events
        if event.name == "upstream:ambiguous_refusal"
    ]
    if not refusals or trace.end_field("code") != "NO_WHOLE_ANSWER":
        return None
    last_fields = refusals[-1].fields
    return (
        f"{last_fields.get('upstream')} answered {last_fields.get('status')}"
        " without stating that the request had not run, so it may have run"
    )


def _explain_upstream_error(trace: _request_trace.RequestTrace) -> str | None:
    if not trace.sends or trace.sends[-1].status is None:
        return None
    send = trace.sends[-1]
    description = f"{send.upstream} itself answered {send.status}"
    if send.status != TIMED_OUT_STATUS:
        return description
    return description + _describe_upstream(send, trace)


def _explain_timeout(trace: _request_trace.RequestTrace) -> str | None:
    if not trace.sends:
        return None
    send = trace.sends[-1]
    other_sends = trace.other_sends_to_same_upstream(send)
    description = (
        f"{send.upstream} gave no answer within {send.took_s or 0:.2f} s"
    )
    allowed_s = trace.end_field("allowed_s")
    if allowed_s is not None and allowed_s < SHORT_TIMEOUT_S:
        return f"{description}; its caller allowed only {allowed_s:.2f} s"
    if _is_hanging(send, trace):
        return (
            f"{description}, nor to {len(other_sends)} others: it hangs or is"
            " partitioned"
        )
    return description + _describe_upstream(send, trace)


def _describe_upstream(
    send: _request_trace.Send, trace: _request_trace.RequestTrace
) -> str:
    """Returns what may have delayed an upstream's answer to a send."""
    slowdown = _stated_slowdown(send, trace)
    queued = _max_queued_at_start(send, trace)
    if slowdown is not None and slowdown >= SLOW_FACTOR:
        return f"; it was slow ({slowdown} times the usual duration)"
    if queued > 0:
        return f"; {queued} requests were queued there before"
    if send.fields.get("cold"):
        return "; it had just started and was cold"
    if send.fields.get("warm") is False:
        return "; long-running request, on an object that was not warm there"
    return "; long-running request, as others were answered as usual"


_RULES = (
    _explain_missing_end,
    _explain_abandoned,
    _explain_success,
    _explain_entry_error,
    _explain_broken_answer,
    _explain_ambiguous_refusal,
    _explain_upstream_error,
    _explain_timeout,
)
