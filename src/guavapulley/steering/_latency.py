"""Latency measurements and detection of upstreams that are outliers."""

import collections
from collections.abc import Iterable
import enum
import statistics

import attrs

from guavapulley.steering import _settings

SAMPLES_PER_UPSTREAM = 7
RECENT_SAMPLES = 3
# Older samples may stem from another mix of requests.
MAX_SAMPLE_AGE_S = 30.0
RECENT_LATENCIES = 512
# Number of new latencies after which the quantiles are computed again.
ANSWERS_PER_QUANTILE = 32
MIN_QUANTILE_SAMPLES = 20
MIN_PEERS = 2
MIN_FAILURES_TO_EXCLUDE = 2
# Minimum hedge delay as a multiple of the median. If latencies hardly vary,
# half of them reach the quantile.
HEDGE_MIN_FACTOR = 1.5
# The low quantile is the latency below which one in this many latencies lies.
LOW_QUANTILE_DIVISOR = 20


class OutlierState(enum.StrEnum):
    """Whether an upstream gets requests, judged by latency and failures."""

    NORMAL = "normal"
    EXCLUDED = "excluded"
    PROBING = "probing"


@attrs.frozen
class LatencySample:
    """A latency measurement.

    Attributes:
        time_s: Time of the measurement on trio's clock.
        latency_s: Measured latency in seconds.
        ratio: Latency divided by the median latency of the peers at the same
            time. A changed mix of requests reaches all peers within a few
            requests, so it changes the latencies but not the ratios.
    """

    time_s: float
    latency_s: float
    ratio: float


@attrs.define
class UpstreamLatency:
    """Latencies and probation of one upstream.

    Attributes:
        incarnation: Incarnation that was measured.
        samples: Samples, newest last.
        failures: Failed attempts since the last answer; an attempt that
            certainly did not run, such as a refused connection, counts twice.
        exclusion_count: Number of exclusions since the last return to normal.
        excluded_until_s: End of the exclusion; None outside of a probation.
        good_probes: Number of probes of normal latency in this probation.
        recent_median_s: Median of the most recent latencies.
        ratio: Median of the ratios to the latency of the peers.
    """

    incarnation: int = 0
    samples: collections.deque[LatencySample] = attrs.field(
        factory=lambda: collections.deque(maxlen=SAMPLES_PER_UPSTREAM)
    )
    failures: int = 0
    exclusion_count: int = 0
    excluded_until_s: float | None = None
    good_probes: int = 0
    recent_median_s: float = 0.0
    ratio: float = 1.0

    def add(self, sample: LatencySample) -> None:
        """Adds a sample and drops those that are too old."""
        self.samples.append(sample)
        while self.samples[0].time_s < sample.time_s - MAX_SAMPLE_AGE_S:
            self.samples.popleft()
        recent_samples = list(self.samples)[-RECENT_SAMPLES:]
        self.recent_median_s = statistics.median(
            s.latency_s for s in recent_samples
        )
        self.ratio = statistics.median(s.ratio for s in self.samples)

    def outlier_state(self, now_s: float) -> OutlierState:
        """Returns the outlier state at a time on trio's clock."""
        if self.excluded_until_s is None:
            return OutlierState.NORMAL
        if now_s < self.excluded_until_s:
            return OutlierState.EXCLUDED
        return OutlierState.PROBING


class PeerLatencies:
    """Latencies of the upstreams of one service in one region.

    An upstream is compared with the median of its peers, so that a changed
    mix of requests, which slows all of them, does not make it an outlier.

    Attributes:
        settings: Constants of the steering policy.
        upstreams: Latencies and probation by upstream.
        latencies: Recent latencies of all upstreams in seconds.
        quantile_s: Latency after which a request is hedged, or None while
            there are too few latencies.
        low_quantile_s: Latency at the low quantile, or None likewise.
        median_s: Median latency, or None likewise.
        answers_since_quantile: Answers since the quantiles were computed.
    """

    def __init__(self, settings: _settings.SteeringSettings) -> None:
        self.settings = settings
        self.upstreams: dict[str, UpstreamLatency] = {}
        self.latencies: collections.deque[float] = collections.deque(
            maxlen=RECENT_LATENCIES
        )
        self.quantile_s: float | None = None
        self.low_quantile_s: float | None = None
        self.median_s: float | None = None
        self.answers_since_quantile = 0

    def get_or_create(self, upstream: str, incarnation: int) -> UpstreamLatency:
        """Returns the latencies of an upstream, created if necessary.

        A newer incarnation does not inherit the latencies of the old one.
        """
        latency = self.upstreams.get(upstream)
        if latency is None or latency.incarnation < incarnation:
            latency = UpstreamLatency(incarnation)
            self.upstreams[upstream] = latency
        return latency

    def retain_only(self, names: Iterable[str]) -> None:
        """Removes all upstreams except the named ones."""
        retained = set(names)
        for name in [n for n in self.upstreams if n not in retained]:
            del self.upstreams[name]

    def peer_median_s(self, now_s: float, without: str = "") -> float | None:
        """Returns the median of the recent median latencies of the upstreams.

        Args:
            now_s: Current time on trio's clock.
            without: Name of an upstream to leave out.

        Returns:
            The median in seconds, or None if fewer than `MIN_PEERS` upstreams
            have recent samples.
        """
        oldest_s = now_s - MAX_SAMPLE_AGE_S
        medians = [
            state.recent_median_s
            for name, state in self.upstreams.items()
            if name != without
            and state.samples
            and state.samples[-1].time_s >= oldest_s
        ]
        if len(medians) < MIN_PEERS:
            return None
        return statistics.median(medians)

    def ratio(self, upstream: str) -> float:
        """Returns the ratio of an upstream's latency to that of its peers.

        The ratio is 1 while there are too few samples.
        """
        state = self.upstreams.get(upstream)
        if not state or len(state.samples) < self.settings.min_slow_samples:
            return 1.0
        return state.ratio

    def hedge_delay_s(self) -> float | None:
        """Returns the time after which to hedge, or None for no hedge."""
        return self.quantile_s

    def record_answer(
        self, upstream: str, now_s: float, latency_s: float
    ) -> None:
        """Records the latency of a complete answer."""
        self.latencies.append(latency_s)
        self.answers_since_quantile += 1
        if (
            self.answers_since_quantile >= ANSWERS_PER_QUANTILE
            or self.quantile_s is None
        ):
            self._update_quantile()
        self.upstreams[upstream].failures = 0
        self._add_sample(upstream, now_s, latency_s)

    def record_cancelled(
        self, upstream: str, now_s: float, elapsed_s: float
    ) -> None:
        """Records an attempt that was cancelled, usually after its hedge won.

        The latency is unknown but longer than the elapsed time. The median of
        the peers is added as an estimate of the remaining time.
        """
        remaining_s = self.peer_median_s(now_s, upstream) or 0.0
        self._add_sample(upstream, now_s, elapsed_s + remaining_s)

    def record_failure(
        self, upstream: str, now_s: float, *, not_run: bool
    ) -> None:
        """Records an attempt without a complete answer.

        One refused connection excludes the upstream. A broken answer may be
        caused by the request, so two are needed.

        An upstream that fails fast has few requests in flight and would
        attract all requests without probation. The limit on the fraction of
        outliers does not apply, because a failure needs no comparison with
        peers.

        Args:
            upstream: Name of the upstream.
            now_s: Current time on trio's clock.
            not_run: Whether the request certainly did not reach the upstream.
        """
        state = self.upstreams[upstream]
        state.failures += 2 if not_run else 1
        probing = state.outlier_state(now_s) is OutlierState.PROBING
        if probing or state.failures >= MIN_FAILURES_TO_EXCLUDE:
            self._exclude(state, now_s)

    def _may_exclude(self, state: UpstreamLatency) -> bool:
        """Returns whether the limit on outliers allows one more exclusion."""
        if state.excluded_until_s is not None:
            return True
        other_outliers = sum(
            1
            for other in self.upstreams.values()
            if other.excluded_until_s is not None
        )
        return other_outliers + 1 <= self.settings.max_outlier_fraction * len(
            self.upstreams
        )

    def _add_sample(
        self, upstream: str, now_s: float, latency_s: float
    ) -> None:
        state = self.upstreams[upstream]
        peer_median_s = self.peer_median_s(now_s, upstream)
        ratio = latency_s / peer_median_s if peer_median_s else 1.0
        state.add(LatencySample(now_s, latency_s, ratio))
        outlier_state = state.outlier_state(now_s)
        slow_ratio = self.settings.slow_factor
        if outlier_state is OutlierState.PROBING:
            self._record_probe(state, now_s, slow=ratio > slow_ratio)
        elif outlier_state is OutlierState.NORMAL:
            slow = sum(sample.ratio > slow_ratio for sample in state.samples)
            if (
                slow >= self.settings.min_slow_samples
                and state.ratio > slow_ratio
                and self._may_exclude(state)
            ):
                self._exclude(state, now_s)

    def _record_probe(
        self, state: UpstreamLatency, now_s: float, *, slow: bool
    ) -> None:
        if slow:
            self._exclude(state, now_s)
            return
        state.good_probes += 1
        if state.good_probes >= self.settings.good_probes:
            state.excluded_until_s = None
            state.exclusion_count = 0
            state.samples.clear()

    def _exclude(self, state: UpstreamLatency, now_s: float) -> None:
        duration_s = min(
            self.settings.max_probation_s,
            self.settings.probation_s * 2**state.exclusion_count,
        )
        state.exclusion_count += 1
        state.good_probes = 0
        state.excluded_until_s = now_s + duration_s

    def _update_quantile(self) -> None:
        self.answers_since_quantile = 0
        if len(self.latencies) >= MIN_QUANTILE_SAMPLES:
            ordered = sorted(self.latencies)
            rank = int(self.settings.hedge_quantile * len(ordered))
            self.median_s = ordered[len(ordered) // 2]
            self.low_quantile_s = ordered[len(ordered) // LOW_QUANTILE_DIVISOR]
            self.quantile_s = max(
                ordered[min(rank, len(ordered) - 1)],
                HEDGE_MIN_FACTOR * self.median_s,
            )
