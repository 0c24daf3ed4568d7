"""Traces one request through the logs of all processes.

The beliefs of an entry are the load, speed and routing version on which its
decision was based.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
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
