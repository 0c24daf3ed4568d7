"""Recording of what exchanges tell about upstreams."""

import trio

from guavapulley import errors
from guavapulley import ports
from guavapulley import routing
from guavapulley.forwarding import _context
from guavapulley.forwarding import _registry

UNREADABLE_LOG_INTERVAL_S = 60.0


class UpstreamRecorder:
    """Records in the trackers and the log what exchanges tell about upstreams.

    Args:
        registry: Durations of exchanges and wait queues.
        events: Log of decisions.

    Attributes:
        unreadable_events: Log of headers that cannot be read.
    """

    def __init__(
        self, registry: _registry.UpstreamRegistry, events: ports.EventLog
    ) -> None:
        self.registry = registry
        self.events = events
        self.unreadable_events = ports.EventLimiter(
            events, UNREADABLE_LOG_INTERVAL_S
        )

    def record_report(
        self,
        context: _context.RequestContext,
        tracker: routing.UpstreamTracker,
        metadata: ports.AnswerMetadata,
    ) -> None:
        """Records the load that an upstream reports."""
        if metadata.unreadable_headers:
            self.unreadable_events.write(
                "upstream:unreadable_header",
                upstream=tracker.record.upstream,
                headers=list(metadata.unreadable_headers),
            )
        if metadata.load is None:
            return
        context.send_records[-1] |= {
            "slowdown": metadata.load.slowdown_factor,
            "running": metadata.load.running,
            "queued": metadata.load.queued,
            "own": tracker.in_flight,
        }
        tracker.record_sample(metadata.load, ran=not metadata.not_run)

    def record_replacement(self, tracker: routing.UpstreamTracker) -> None:
        """Records that another incarnation has the address of an upstream."""
        tracker.replaced = True
        self.events.write("upstream:replaced", upstream=tracker.record.upstream)

    def record_withdrawal(
        self, tracker: routing.UpstreamTracker, metadata: ports.AnswerMetadata
    ) -> None:
        """Records that an upstream leaves, or refuses requests for a time."""
        record = tracker.record
        if metadata.leaving and not tracker.leaving:
            tracker.leaving = True
            self.events.write(
                "upstream:leaving",
                upstream=record.upstream,
                incarnation=record.incarnation,
            )
        if metadata.refusal_s is not None:
            tracker.record_refusal(metadata.refusal_s)
            self.events.write(
                "upstream:refusing",
                upstream=record.upstream,
                refusal_s=round(metadata.refusal_s, 3),
            )
        if metadata.leaving or metadata.refusal_s is not None:
            self.registry.queue(record.service).dismiss_futile()

    def record_failure(
        self,
        context: _context.RequestContext,
        tracker: routing.UpstreamTracker,
        error: errors.GuavapulleyError,
    ) -> None:
        """Records an exchange without an answer."""
        if error.code == ports.UPSTREAM_NOT_REACHED:
            tracker.record_connect_failure()
        elif error.code != ports.UPSTREAM_WITHDRAWN:
            tracker.record_failure()
        self.events.write(
            "upstream:failed",
            upstream=tracker.record.upstream,
            request_id=context.metadata.request_id,
            code=error.code,
            reason=error.message,
        )

    def record_ambiguous_refusal(
        self,
        context: _context.RequestContext,
        tracker: routing.UpstreamTracker,
        status: int,
    ) -> None:
        """Records an answer that must not reach the caller.

        The upstream does not report that the request did not run, which the
        caller would conclude from the status.
        """
        tracker.record_failure()
        self.events.write(
            "upstream:ambiguous_refusal",
            upstream=tracker.record.upstream,
            request_id=context.metadata.request_id,
            status=status,
        )

    def record_success(
        self,
        context: _context.RequestContext,
        tracker: routing.UpstreamTracker,
        metadata: ports.AnswerMetadata,
        started_s: float,
    ) -> None:
        """Records the duration of an exchange and the warm object."""
        key = context.affinity_key()
        durations = self.registry.typical_durations(tracker.record.service)
        relative_duration = durations.record(
            trio.current_time() - started_s,
            metadata.load.slowdown_factor if metadata.load else 1.0,
            warm=key is None or key in tracker.warm_keys,
        )
        tracker.record_success(relative_duration)
        tracker.add_warm_key(key)
