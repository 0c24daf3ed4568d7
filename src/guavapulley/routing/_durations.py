"""Typical durations of the exchanges with a service."""

import attrs

# Weight of the newest duration in the moving averages.
NEWEST_WEIGHT = 0.05


@attrs.define
class TypicalDurations:
    """Moving averages of the durations of successful exchanges with a service.

    Requests for an object that an upstream has warm take a fraction of the
    time of others. Upstreams are compared by warm requests only; otherwise an
    upstream would look slow while it becomes warm for many objects.

    Attributes:
        overall_s: Typical duration in seconds; None before the first exchange.
        warm_s: Typical duration of warm requests in seconds, divided by the
            slowdown that the upstream stated; None before the first one.
    """

    overall_s: float | None = None
    warm_s: float | None = None

    def record(
        self, duration_s: float, slowdown: float, *, warm: bool
    ) -> float | None:
        """Adds the duration of a successful exchange.

        Args:
            duration_s: Its duration in seconds.
            slowdown: Processing time relative to normal that the upstream
                stated with the answer. It is divided out, because placement
                accounts for it separately.
            warm: Whether the upstream had the object warm.

        Returns:
            The duration relative to the typical one of warm requests, or None
            if the object was not warm.
        """
        self.overall_s = _update_mean(self.overall_s, duration_s)
        if not warm:
            return None
        normalized_s = duration_s / max(1.0, slowdown)
        self.warm_s = _update_mean(self.warm_s, normalized_s)
        return normalized_s / max(self.warm_s, 0.001)


def _update_mean(mean_s: float | None, newest_s: float) -> float:
    """Returns the moving average after adding a value."""
    if mean_s is None:
        return newest_s
    return mean_s + NEWEST_WEIGHT * (newest_s - mean_s)
