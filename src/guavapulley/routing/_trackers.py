"""State of each upstream as estimated from this entry's own exchanges."""

import math

import attrs
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.routing import _budgets
from guavapulley.routing import _decay
from guavapulley.routing import _typical_load

# The requests of other entries are replaced within about one exchange. After
# that their moving average is the better estimate.
OTHER_REQUESTS_HALF_LIFE_S = 0.5
# Older load samples are no longer meaningful.
MAX_SAMPLE_AGE_S = 3.0
# The moving averages of the load cover about four samples. They last longer
# than the interval between two requests of an entry for one of the slower
# services.
SAMPLE_WEIGHT = 0.25
MEAN_LOAD_HALF_LIFE_S = 10.0
# The speed of machines shared by upstreams changes several times a second.
SLOWDOWN_HALF_LIFE_S = 0.4
# Time after which an upstream that was slower or failed more than its peers is
# tried again.
DURATION_RATIO_HALF_LIFE_S = 3.0
DURATION_RATIO_WEIGHT = 0.2
# Limits the effect of a single very long exchange.
MAX_RELATIVE_DURATION = 6.0
# Keeps a few short exchanges from attracting all requests.
MIN_DURATION_FACTOR = 0.3
FAILURE_WEIGHT = 0.15
FAILURE_HALF_LIFE_S = 3.0
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
# An upstream is reported as avoided from this fraction of failures, or from
# this multiple of its peers' durations. Either costs more than using another
# failure domain.
AVOIDED_FAILURE_FRACTION = 0.3
AVOIDED_DURATION_RATIO = 2.0
# Reason why an upstream that refuses requests is unavailable.
REFUSING = "refusing"
# Objects of this entry that an upstream is assumed to keep warm.
MAX_WARM_KEYS = 20


@attrs.define(eq=False)
class UpstreamTracker:
    """Estimated state of one incarnation of an upstream.

    Points in time are in seconds on trio's clock. Estimates are for a time that
    the calling code passes, so that one decision on hundreds of upstreams reads
    the clock once.

    Attributes:
        record: What the upstream announced.
        cold_budget: Limits requests while it is cold; None if there is no
            limit.
        cold_until_s: Time at which it stops being cold.
        in_flight: Requests of this entry at the upstream.
        typical_load: Typical load by other entries on the service's upstreams
            in the same region.
        other_requests: Requests of other entries, at the last sample.
        mean_other_requests: Moving average of `other_requests`.
        sampled_s: Time of the last load sample; minus infinity before the
            first one.
        mean_requests: Moving average of all requests at the upstream.
        slowdown: Processing time relative to normal, at the last sample.
        duration_ratio: Moving average of its durations relative to its peers.
        failure_fraction: Fraction of the requests that it failed or rejected,
            at `outcomes_updated_s`.
        outcomes_updated_s: Time of the last update of `duration_ratio` and
            `failure_fraction`.
        backoff_until_s: No request is sent before this time, because a
            connection attempt failed.
        backoff_s: Duration of the next backoff, in seconds.
        replaced: Whether another incarnation uses its address.
        leaving: Whether it announced in an answer that it is leaving. An
            incarnation that leaves does not return.
        refused_until_s: No request is sent before this time, because it wants
            none from this entry.
        warm_keys: Objects of the newest requests, oldest first.
        avoidance_reason: Last reported reason to avoid it; None if it was last
            reported as trusted, or never reported.
    """

    record: model.UpstreamRecord
    cold_budget: _budgets.ColdBudget | None = None
    cold_until_s: float = 0.0
    in_flight: int = 0
    typical_load: _typical_load.TypicalLoad = attrs.field(
        factory=_typical_load.TypicalLoad
    )
    other_requests: float = 0.0
    mean_other_requests: float = 0.0
    sampled_s: float = -math.inf
    mean_requests: float = 0.0
    slowdown: float = 1.0
    duration_ratio: float = 1.0
    failure_fraction: float = 0.0
    outcomes_updated_s: float = 0.0
    backoff_until_s: float = 0.0
    backoff_s: float = INITIAL_BACKOFF_S
    replaced: bool = False
    leaving: bool = False
    refused_until_s: float = 0.0
    warm_keys: dict[str, None] = attrs.field(factory=dict)
    avoidance_reason: str | None = None

    def load(self, now_s: float) -> float:
        """Returns the estimated number of requests at the upstream."""
        age_s = now_s - self.sampled_s
        # Leaves one slot free, so that a high average does not keep the
        # upstream from being tried: only an answer shows that it has capacity
        # again.
        baseline = min(
            self._current_mean_other_requests(now_s),
            max(0, self.record.slots - 1),
        )
        return self.in_flight + _decay.decay(
            self.other_requests, baseline, age_s, OTHER_REQUESTS_HALF_LIFE_S
        )

    def _current_mean_other_requests(self, now_s: float) -> float:
        """Returns the mean, decayed to the typical load by its age."""
        age_s = now_s - self.sampled_s
        typical_load = self.typical_load.current(now_s) * self.record.slots
        return _decay.decay(
            self.mean_other_requests, typical_load, age_s, MEAN_LOAD_HALF_LIFE_S
        )

    def mean_load(self, now_s: float) -> float:
        """Returns the moving average of the requests at the upstream.

        Unlike `load`, it does not react to single requests, and the requests of
        other entries do not decay quickly between two samples.
        """
        age_s = now_s - self.sampled_s
        return _decay.decay(
            self.mean_requests, 0.0, age_s, MEAN_LOAD_HALF_LIFE_S
        )

    def has_recent_sample(self, now_s: float) -> bool:
        """Returns whether the last load sample is recent enough to use."""
        age_s = now_s - self.sampled_s
        return age_s < MAX_SAMPLE_AGE_S

    def duration_factor(self, now_s: float) -> float:
        """Returns the estimated duration relative to a typical upstream."""
        age_s = now_s - self.sampled_s
        slowdown = _decay.decay(self.slowdown, 1.0, age_s, SLOWDOWN_HALF_LIFE_S)
        return max(
            MIN_DURATION_FACTOR, slowdown * self._current_duration_ratio(now_s)
        )

    def _current_duration_ratio(self, now_s: float) -> float:
        age_s = now_s - self.outcomes_updated_s
        return _decay.decay(
            self.duration_ratio, 1.0, age_s, DURATION_RATIO_HALF_LIFE_S
        )

    def current_failure_fraction(self, now_s: float) -> float:
        """Returns the estimated fraction of requests that fail, from 0 to 1."""
        age_s = now_s - self.outcomes_updated_s
        return _decay.decay(
            self.failure_fraction, 0.0, age_s, FAILURE_HALF_LIFE_S
        )

    def is_cold(self, now_s: float) -> bool:
        """Returns whether it is still cold."""
        return now_s < self.cold_until_s

    def reason_to_avoid(self, now_s: float) -> str | None:
        """Returns why it gets fewer requests than its peers, or None."""
        if self.current_failure_fraction(now_s) >= AVOIDED_FAILURE_FRACTION:
            return "failing"
        return (
            "slow"
            if self._current_duration_ratio(now_s) >= AVOIDED_DURATION_RATIO
            else None
        )

    def unavailable_reason(self, now_s: float) -> str | None:
        """Returns why it may not receive requests now; None if it may."""
        if self.replaced:
            return "replaced"
        if self.leaving:
            return model.UpstreamState.LEAVING.value
        if self.record.state is not model.UpstreamState.READY:
            return self.record.state.value
        if now_s < self.refused_until_s:
            return REFUSING
        if now_s < self.backoff_until_s:
            return "unreachable"
        return None

    def record_refusal(self, refusal_s: float) -> None:
        """Records that the upstream wants no requests for some seconds.

        A shorter time than one stated earlier does not shorten that one.
        """
        self.refused_until_s = max(
            self.refused_until_s, trio.current_time() + refusal_s
        )

    def add_warm_key(self, key: str | None) -> None:
        """Marks the object of a served request as warm.

        The least recently used object is evicted if there are too many.

        Args:
            key: The object; None if the request has none.
        """
        if key is None:
            return
        self.warm_keys.pop(key, None)
        self.warm_keys[key] = None
        if len(self.warm_keys) > MAX_WARM_KEYS:
            del self.warm_keys[next(iter(self.warm_keys))]

    def record_sample(self, sample: ports.LoadSample, *, ran: bool) -> None:
        """Updates the load estimates from an answer.

        Args:
            sample: The load that the upstream stated in the answer.
            ran: Whether the answered request ran. If so the stated load still
                includes it, while `in_flight` no longer does.
        """
        now_s = trio.current_time()
        self.mean_requests = self.mean_load(now_s)
        previous_mean = self._current_mean_other_requests(now_s)
        self.sampled_s = now_s
        at_upstream = sample.running + sample.queued - ran
        self.mean_requests += SAMPLE_WEIGHT * (at_upstream - self.mean_requests)
        self.other_requests = max(0.0, float(at_upstream - self.in_flight))
        self.mean_other_requests = previous_mean + SAMPLE_WEIGHT * (
            self.other_requests - previous_mean
        )
        self.typical_load.record(self.other_requests, self.record.slots)
        self.slowdown = sample.slowdown_factor

    def record_success(self, relative_duration: float | None) -> None:
        """Records a successful answer.

        Args:
            relative_duration: Its duration relative to the typical one of the
                service; None if it does not indicate the speed of the upstream.
        """
        now_s = trio.current_time()
        duration_ratio = self._current_duration_ratio(now_s)
        if relative_duration is not None:
            capped = min(relative_duration, MAX_RELATIVE_DURATION)
            duration_ratio += DURATION_RATIO_WEIGHT * (capped - duration_ratio)
        self._set_outcome_stats(
            now_s,
            self.current_failure_fraction(now_s) * (1 - FAILURE_WEIGHT),
            duration_ratio,
        )
        self.backoff_s = INITIAL_BACKOFF_S

    def record_failure(self) -> None:
        """Records an incomplete answer, a rejection or a failed request."""
        now_s = trio.current_time()
        failure_fraction = self.current_failure_fraction(now_s)
        self._set_outcome_stats(
            now_s,
            failure_fraction + FAILURE_WEIGHT * (1 - failure_fraction),
            self._current_duration_ratio(now_s),
        )

    def _set_outcome_stats(
        self, now_s: float, failure_fraction: float, duration_ratio: float
    ) -> None:
        self.failure_fraction = failure_fraction
        self.duration_ratio = duration_ratio
        self.outcomes_updated_s = now_s

    def record_connect_failure(self) -> None:
        """Starts a backoff after a failed connection attempt."""
        self.backoff_until_s = trio.current_time() + self.backoff_s
        self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)
