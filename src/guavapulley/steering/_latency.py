"""Own latency measurements, and upstreams that are slower than their peers."""

import collections
from collections.abc import Iterable
import enum
import statistics

import attrs

from guavapulley.steering import _settings

SAMPLES_PER_UPSTREAM = 7
NEWEST_SAMPLES = 3
# Older samples describe another mix of requests.
SAMPLE_AGE_S = 30.0
RECENT_LATENCIES = 512
# The quantile is computed again after this many new latencies.
QUANTILE_EVERY = 32
MIN_QUANTILE_SAMPLES = 20
MIN_PEERS = 2
FAILURES_TO_EXCLUDE = 2
# Where latencies hardly vary, the quantile alone is reached by half of them.
HEDGE_MIN_FACTOR = 1.5
# One in this many latencies is below the floor.
FLOOR_DIVISOR = 20


class Standing(enum.StrEnum):
    """Whether an upstream gets requests by its own latency."""

    NORMAL = "normal"
    EXCLUDED = "excluded"
    PROBING = "probing"


@attrs.frozen
class Sample:
    """One measurement.

    Attributes:
        time_s: When it was made.
        latency_s: Latency.
        ratio: Latency as a multiple of that of the peers at the same time. A
            changed mix of requests reaches all peers within a few requests,
            so it changes the latencies but not the ratios.
    """

    time_s: float
    latency_s: float
    ratio: float


@attrs.define
class UpstreamLatency:
    """Latencies and probation of one upstream.

    Attributes:
        incarnation: Incarnation that was measured.
        samples: Measurements, newest last.
        failures: Failed attempts since the last answer; refused connections
            count twice.
        level: Probations since the last return to normal.
        excluded_until_s: End of the exclusion; None outside of a probation.
        good_probes: Probes of normal latency in this probation.
        newest_s: Median of the newest latencies.
        ratio: Median of the ratios to the peers.
    """

    incarnation: int = 0
    samples: collections.deque[Sample] = attrs.field(
        factory=lambda: collections.deque(maxlen=SAMPLES_PER_UPSTREAM)
    )
    failures: int = 0
    level: int = 0
    excluded_until_s: float | None = None
    good_probes: int = 0
    newest_s: float = 0.0
    ratio: float = 1.0

    def add(self, sample: Sample) -> None:
        """Adds a sample and forgets those that are too old."""
        self.samples.append(sample)
        while self.samples[0].time_s < sample.time_s - SAMPLE_AGE_S:
            self.samples.popleft()
        newest = list(self.samples)[-NEWEST_SAMPLES:]
        self.newest_s = statistics.median(s.latency_s for s in newest)
        self.ratio = statistics.median(s.ratio for s in self.samples)

    def standing(self, now_s: float) -> Standing:
        """Returns the standing at a time."""
        if self.excluded_until_s is None:
            return Standing.NORMAL
        if now_s < self.excluded_until_s:
            return Standing.EXCLUDED
        return Standing.PROBING


class PeerLatencies:
    """Latencies of the upstreams of one service in one region.

    An upstream is compared with the median of its peers, so that a changed
    mix of requests, which slows all of them, makes no outlier.
    """

    def __init__(self, settings: _settings.SteeringSettings) -> None:
        self.settings = settings
        self.upstreams: dict[str, UpstreamLatency] = {}
        self.latencies: collections.deque[float] = collections.deque(
            maxlen=RECENT_LATENCIES
        )
        self.quantile_s: float | None = None
        self.floor_s: float | None = None
        self.middle_s: float | None = None
        self.since_quantile = 0

    def of(self, upstream: str, incarnation: int) -> UpstreamLatency:
        """Returns the state of an upstream; a new incarnation starts anew."""
        found = self.upstreams.get(upstream)
        if found is None or found.incarnation < incarnation:
            found = UpstreamLatency(incarnation)
            self.upstreams[upstream] = found
        return found

    def forget_others(self, names: Iterable[str]) -> None:
        """Forgets upstreams that are not named."""
        known = set(names)
        for name in [n for n in self.upstreams if n not in known]:
            del self.upstreams[name]

    def typical_s(self, now_s: float, without: str = "") -> float | None:
        """Returns the median of the newest latencies of the upstreams.

        Args:
            now_s: Now.
            without: Upstream that is left out.
        """
        oldest = now_s - SAMPLE_AGE_S
        medians = [
            state.newest_s
            for name, state in self.upstreams.items()
            if name != without
            and state.samples
            and state.samples[-1].time_s >= oldest
        ]
        if len(medians) < MIN_PEERS:
            return None
        return statistics.median(medians)

    def ratio(self, upstream: str) -> float:
        """Returns the latency as a multiple of that of the peers.

        1 is returned while there are too few samples to tell.
        """
        state = self.upstreams.get(upstream)
        if not state or len(state.samples) < self.settings.min_slow_samples:
            return 1.0
        return state.ratio

    def hedge_delay_s(self) -> float | None:
        """Returns the time after which a request is slow for its peers."""
        return self.quantile_s

    def answered(self, upstream: str, now_s: float, latency_s: float) -> None:
        """Records a whole answer."""
        self.latencies.append(latency_s)
        self.since_quantile += 1
        if self.since_quantile >= QUANTILE_EVERY or self.quantile_s is None:
            self._update_quantile()
        self.upstreams[upstream].failures = 0
        self._sampled(upstream, now_s, latency_s)

    def overtaken(self, upstream: str, now_s: float, elapsed_s: float) -> None:
        """Records an attempt that was cancelled because its hedge won.

        The latency is unknown but longer than the elapsed time; a typical
        latency is taken for the rest.
        """
        rest = self.typical_s(now_s, upstream) or 0.0
        self._sampled(upstream, now_s, elapsed_s + rest)

    def failed(self, upstream: str, now_s: float, *, not_run: bool) -> None:
        """Records an attempt without a whole answer.

        One refused connection excludes the upstream; a broken answer may be
        the fault of the request, so it takes two.

        Failures are often fast, and an upstream that fails fast has few
        requests in flight; without probation it would attract all requests.
        The limit on outliers does not hold here, because a failure needs no
        comparison with peers.
        """
        state = self.upstreams[upstream]
        state.failures += 2 if not_run else 1
        probing = state.standing(now_s) is Standing.PROBING
        if probing or state.failures >= FAILURES_TO_EXCLUDE:
            self._exclude(state, now_s)

    def _may_exclude(self, state: UpstreamLatency) -> bool:
        """Returns whether enough peers remain without one more outlier."""
        if state.excluded_until_s is not None:
            return True
        others = sum(
            1
            for other in self.upstreams.values()
            if other.excluded_until_s is not None
        )
        return others + 1 <= self.settings.max_outlier_part * len(
            self.upstreams
        )

    def _sampled(self, upstream: str, now_s: float, latency_s: float) -> None:
        state = self.upstreams[upstream]
        typical = self.typical_s(now_s, upstream)
        ratio = latency_s / typical if typical else 1.0
        state.add(Sample(now_s, latency_s, ratio))
        standing = state.standing(now_s)
        limit = self.settings.slow_factor
        if standing is Standing.PROBING:
            self._probed(state, now_s, slow=ratio > limit)
        elif standing is Standing.NORMAL:
            slow = sum(sample.ratio > limit for sample in state.samples)
            if (
                slow >= self.settings.min_slow_samples
                and state.ratio > limit
                and self._may_exclude(state)
            ):
                self._exclude(state, now_s)

    def _probed(
        self, state: UpstreamLatency, now_s: float, *, slow: bool
    ) -> None:
        if slow:
            self._exclude(state, now_s)
            return
        state.good_probes += 1
        if state.good_probes >= self.settings.good_probes:
            state.excluded_until_s = None
            state.level = 0
            state.samples.clear()

    def _exclude(self, state: UpstreamLatency, now_s: float) -> None:
        duration = min(
            self.settings.max_probation_s,
            self.settings.probation_s * 2**state.level,
        )
        state.level += 1
        state.good_probes = 0
        state.excluded_until_s = now_s + duration

    def _update_quantile(self) -> None:
        self.since_quantile = 0
        if len(self.latencies) >= MIN_QUANTILE_SAMPLES:
            ordered = sorted(self.latencies)
            rank = int(self.settings.hedge_quantile * len(ordered))
            self.middle_s = ordered[len(ordered) // 2]
            self.floor_s = ordered[len(ordered) // FLOOR_DIVISOR]
            self.quantile_s = max(
                ordered[min(rank, len(ordered) - 1)],
                HEDGE_MIN_FACTOR * self.middle_s,
            )
