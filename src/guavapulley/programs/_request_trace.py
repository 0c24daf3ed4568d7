"""Traces one request through the logs of all processes.

The beliefs of an entry are the load, speed and routing version on which its
decision was based.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import statistics
from typing import Any

import attrs

from guavapulley.programs import _timeline

# Names of the events with which an entry ends a request.
END_EVENTS = (
    "request:answered",
    "request:answered_once",
    "request:failed",
    "request:abandoned",
)
# Belief changes are shown for this time before and after a request.
BELIEF_WINDOW_S = 2.0
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


@attrs.frozen
class Send:
    """One send of a request to an upstream.

    Attributes:
        upstream: Name of the upstream.
        started_s: Wall-clock time of the start on the clock of the entry, in
            Unix seconds.
        took_s: Duration in seconds; None if it did not end.
        status: Status of the answer; None without a complete answer.
        fields: Logged beliefs at the start and statements of the answer.
    """

    upstream: str
    started_s: float
    took_s: float | None
    status: int | None
    fields: Mapping[str, Any]

    @property
    def ended_s(self) -> float:
        """Wall-clock time of the end, in Unix seconds."""
        return self.started_s + (self.took_s or 0.0)

    def overlaps(self, other: "Send") -> bool:
        """Returns whether both sends were in progress at the same time."""
        return (
            self.started_s <= other.ended_s and other.started_s <= self.ended_s
        )

    def is_answered(self) -> bool:
        """Returns whether the upstream gave a complete answer."""
        return self.status is not None

    def stated_load(self) -> int | None:
        """Returns the stated number of running and queued requests."""
        running = self.fields.get("running")
        if running is None:
            return None
        return int(running) + int(self.fields.get("queued") or 0)


@attrs.frozen
class RequestTrace:
    """Log events that concern one request.

    Attributes:
        request_id: ID of the request.
        end_event: Event that ended the request at an entry; None if no log
            contains one.
        request_events: All events with the ID of the request.
        sends: Sends of the request, in order.
        other_sends: Sends of other requests to the same upstreams at the same
            time.
        belief_changes: Events shortly before and after the request that changed
            the beliefs of its entry.
        newest_version: Newest routing version that was decided before the
            request arrived, with the Unix time of that event; None if no log
            contains one.
    """

    request_id: str
    end_event: _timeline.Event | None
    request_events: Sequence[_timeline.Event]
    sends: Sequence[Send]
    other_sends: Sequence[Send]
    belief_changes: Sequence[_timeline.Event]
    newest_version: tuple[int, float] | None

    @property
    def ended_s(self) -> float:
        """Wall-clock time of the answer, in Unix seconds."""
        return self.end_event.timestamp if self.end_event else 0.0

    @property
    def arrived_s(self) -> float:
        """Wall-clock time of the arrival at the entry, in Unix seconds."""
        if self.end_event is None:
            return 0.0
        return self.ended_s - float(self.end_event.fields.get("total_s") or 0.0)

    def other_sends_to_same_upstream(self, send: Send) -> list[Send]:
        """Returns the sends of other requests to the upstream of a send."""
        return [
            other
            for other in self.other_sends
            if other.upstream == send.upstream
        ]

    def end_field(self, name: str) -> Any:
        """Returns a field of the end event; None if there is none."""
        return self.end_event.fields.get(name) if self.end_event else None

    def status(self) -> int:
        """Returns the status of the answer; 0 without an answer."""
        return int(self.end_field("status") or 0)


def read_trace(
    request_id: str, events: Iterable[_timeline.Event]
) -> RequestTrace:
    """Returns the events that concern a request.

    Args:
        request_id: ID of the request.
        events: Events of all logs, in causal order.
    """
    all_events = list(events)
    request_events = [
        event
        for event in all_events
        if event.fields.get("request_id") == request_id
    ]
    end_event = next(
        (
            event
            for event in reversed(request_events)
            if event.name in END_EVENTS
        ),
        None,
    )
    sends = list(_read_sends(end_event)) if end_event else []
    trace = RequestTrace(
        request_id, end_event, request_events, sends, (), (), None
    )
    if end_event is None:
        return trace
    upstreams = {send.upstream for send in sends}
    return attrs.evolve(
        trace,
        other_sends=[
            send
            for event in all_events
            if event.name in END_EVENTS and event is not end_event
            for send in _read_sends(event)
            if send.upstream in upstreams
            and any(send.overlaps(own_send) for own_send in sends)
        ],
        belief_changes=[
            event
            for event in all_events
            if _is_belief_change(event, end_event, trace, upstreams)
        ],
        newest_version=_newest_version(all_events, trace.arrived_s),
    )


def _read_sends(event: _timeline.Event) -> Iterator[Send]:
    total_s = float(event.fields.get("total_s") or 0.0)
    for fields in event.fields.get("sends") or ():
        yield Send(
            str(fields.get("upstream")),
            event.timestamp - total_s + float(fields.get("at_s") or 0.0),
            fields.get("took_s"),
            fields.get("status"),
            fields,
        )


def _is_belief_change(
    event: _timeline.Event,
    end_event: _timeline.Event,
    trace: RequestTrace,
    upstreams: set[str],
) -> bool:
    """Returns whether an event changed the beliefs of the request's entry."""
    if event.process != end_event.process or event.name in END_EVENTS:
        return False
    in_window = (
        trace.arrived_s - BELIEF_WINDOW_S
        <= event.timestamp
        <= trace.ended_s + BELIEF_WINDOW_S
    )
    upstream = event.fields.get("upstream")
    return in_window and (upstream is None or upstream in upstreams)


def _newest_version(
    events: Iterable[_timeline.Event], arrived_s: float
) -> tuple[int, float] | None:
    """Returns the newest version in any log, with the time of its event."""
    newest: tuple[int, float] | None = None
    for event in events:
        version = event.fields.get("version")
        if event.name not in ("fleet:decided", "fleet:applied"):
            continue
        if not isinstance(version, int) or event.timestamp > arrived_s:
            continue
        if newest is None or version > newest[0]:
            newest = (version, event.timestamp)
    return newest


def wrong_beliefs(trace: RequestTrace) -> Iterator[str]:
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


def _wrong_beliefs_at_send(send: Send, trace: RequestTrace) -> Iterator[str]:
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


def _stated_slowdown(send: Send, trace: RequestTrace) -> float | None:
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


def _max_queued_at_start(send: Send, trace: RequestTrace) -> int:
    """Returns the longest queue that was stated near the start of a send."""
    queue_lengths = [
        int(other.fields.get("queued") or 0)
        for other in trace.other_sends_to_same_upstream(send)
        if abs(other.ended_s - send.started_s) <= MAX_STATEMENT_OFFSET_S
    ]
    return max(queue_lengths, default=0)


def find_cause(trace: RequestTrace) -> str:
    """Returns the cause of a failure, as far as the logs show it.

    The rules are tried in order; the first that applies gives the cause.
    """
    causes = (rule(trace) for rule in _RULES)
    return next(
        (reason for reason in causes if reason is not None),
        "not known from these logs",
    )


def _explain_missing_end(trace: RequestTrace) -> str | None:
    if trace.end_event is not None:
        return None
    return (
        "no process logged an answer: the request reached no entry, its entry"
        " ended first, or the log line is missing"
    )


def _explain_abandoned(trace: RequestTrace) -> str | None:
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


def _is_hanging(send: Send, trace: RequestTrace) -> bool:
    """Returns whether several other sends got no answer, and none got one."""
    other_sends = trace.other_sends_to_same_upstream(send)
    return len(other_sends) >= MIN_UNANSWERED_WHEN_HANGING and not any(
        other.is_answered() for other in other_sends
    )


def _explain_success(trace: RequestTrace) -> str | None:
    return "none, it was answered" if trace.status() < 400 else None


def _explain_entry_error(trace: RequestTrace) -> str | None:
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


def _explain_broken_answer(trace: RequestTrace) -> str | None:
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


def _explain_upstream_error(trace: RequestTrace) -> str | None:
    if not trace.sends or trace.sends[-1].status is None:
        return None
    send = trace.sends[-1]
    description = f"{send.upstream} itself answered {send.status}"
    if send.status != TIMED_OUT_STATUS:
        return description
    return description + _describe_upstream(send, trace)


def _explain_timeout(trace: RequestTrace) -> str | None:
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


def _describe_upstream(send: Send, trace: RequestTrace) -> str:
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
    _explain_upstream_error,
    _explain_timeout,
)
