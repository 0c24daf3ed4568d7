"""Log events and metrics of completed requests."""

from collections.abc import Callable

import trio

from guavapulley import ports
from guavapulley.forwarding import _context
from guavapulley.forwarding import _registry

# Value of the `reason` label for answers of an upstream.
UPSTREAM_REASON = "upstream"


class RequestReporter:
    """Logs one event per request and updates the metrics.

    Args:
        registry: Provides the current fleet state.
        events: Event log.
        metrics: Counters and timings.

    Attributes:
        state_age_s: Returns the time since the fleet state was confirmed, in
            seconds.
    """

    def __init__(
        self,
        registry: _registry.UpstreamRegistry,
        events: ports.EventLog,
        metrics: ports.Metrics,
    ) -> None:
        self.registry = registry
        self.events = events
        self.metrics = metrics
        self.state_age_s: Callable[[], float] = lambda: 0.0

    def report_refusal(
        self,
        metadata: ports.CallerMetadata,
        status: int,
        code: str,
        reason: str,
        retry_after_s: float | None,
    ) -> None:
        """Reports a request that was refused before an upstream was chosen.

        Args:
            metadata: Metadata from the headers of the request.
            status: Status of the answer.
            code: Error code of the answer.
            reason: Why it was refused.
            retry_after_s: Time after which the caller may retry, in seconds;
                None if it should not.
        """
        self.metrics.increment(f"requests.{status}")
        self.events.write(
            "request:failed",
            request_id=metadata.request_id,
            status=status,
            **self._state_fields(),
            code=code,
            reason=reason,
            retry_after_s=retry_after_s and round(retry_after_s, 3),
        )

    def report_end(
        self, context: _context.RequestContext, status: int | None
    ) -> None:
        """Reports the end of a request.

        Args:
            context: The request.
            status: Status of its answer; None if its caller disconnected.
        """
        total_s = trio.current_time() - context.arrived_s
        if status is not None:
            self._record_metrics(context, status, total_s)
        self.events.write(
            context.end_event(status),
            request_id=context.metadata.request_id,
            route=context.route.name,
            service=context.service,
            key=context.metadata.affinity_key,
            status=status,
            **self._state_fields(),
            candidates=context.candidate_count,
            allowed_s=round(context.deadline_at_s - context.arrived_s, 3),
            waited_s=round(context.waited_s, 3),
            total_s=round(total_s, 3),
            sends=context.send_records,
            **context.error_fields(),
        )

    def _state_fields(self) -> dict[str, object]:
        """Returns log fields on the version and age of the fleet state."""
        return {
            "version": self.registry.state.routing.version,
            "state_age_s": round(self.state_age_s(), 2),
        }

    def _record_metrics(
        self, context: _context.RequestContext, status: int, total_s: float
    ) -> None:
        """Updates the counters and timings of an answered request."""
        service = context.service
        total_exchange_s = context.total_exchange_s()
        self.metrics.increment(f"requests.{status}")
        self.metrics.increment(
            "request_outcomes",
            route=context.route.name,
            service=service,
            status=str(status),
            reason=context.code or UPSTREAM_REASON,
        )
        self.metrics.timing(f"request.{service}", total_s * 1000)
        self.metrics.timing(f"wait.{service}", context.waited_s * 1000)
        self.metrics.timing(f"exchange.{service}", total_exchange_s * 1000)
        self.metrics.timing(
            f"added.{service}", max(0.0, total_s - total_exchange_s) * 1000
        )
