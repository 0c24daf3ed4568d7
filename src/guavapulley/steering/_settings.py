"""Constants of the steering policy."""

from collections.abc import Mapping

import attrs

from guavapulley import model


def _default_admission_limits() -> Mapping[model.TrafficClass, int]:
    return {
        model.TrafficClass.SHORT: 128,
        model.TrafficClass.ONCE: 64,
        model.TrafficClass.BULK: 64,
    }


def _default_wait_fractions() -> Mapping[model.TrafficClass, float]:
    return {
        model.TrafficClass.SHORT: 0.1,
        model.TrafficClass.ONCE: 0.25,
        model.TrafficClass.BULK: 1.0,
    }


@attrs.frozen
class SteeringSettings:
    """Constants of the steering policy.

    Attributes:
        admission_limits: Maximum number of waiting and running requests in one
            entry, by traffic class. Each class has its own limit, so that bulk
            work does not block the others.
        recheck_interval_s: Interval at which the first waiting request checks
            for changes of the view.
        spillover_delay_s: Waiting time after which other regions are
            considered although the local region has upstreams of normal
            latency.
        ownership_delay_s: Time after a change of the allocation until a newly
            owned slot may be used without restriction, because the previous
            owner may not have received the change. It covers the usual delay
            of gossip.
        gossip_window_s: Window over which the peaks of the counts and claims of
            other entries are used, because these arrive up to 2 s late.
        burst_factor: Multiple of the own slots of a region that a burst of
            short requests may use.
        burst_mean_fraction: A burst is allowed only while the mean use over a
            second is below this fraction of the own slots.
        burst_region_fraction: Maximum fraction of the slots of a region that
            may be in use with the burst, by the known counts.
        bulk_free_slots: Number of slots that bulk work leaves free in a region
            with more than four times as many slots.
        slow_start_s: Time over which the slots of a new incarnation increase
            to their full number.
        startup_grace_s: Incarnations first seen within this time after the
            entry first used the service have no slow start.
        max_wait_fractions: Fraction of the deadline for which a request may
            wait, by traffic class. A request that would wait longer is refused
            at once, so that its caller can use another entry.
        max_attempts: Maximum number of attempts for one request that may have
            run. Hedges are not limited by it.
        max_connect_attempts: Maximum number of attempts for one request that
            did not run.
        retry_percent: Retries in percent of the requests.
        hedge_percent: Hedges in percent of the requests at low load.
        budget_burst: Maximum number of retries or hedges that can be saved up.
        hedge_quantile: Quantile of recent latencies after which a hedge
            starts, from 0 to 1.
        hedge_full_load: Load up to which the whole hedge budget is earned, as a
            fraction of the slots.
        hedge_no_load: Load from which no hedge is sent, as a fraction of the
            slots.
        slow_factor: Multiple of the median latency of the peers above which a
            sample is slow.
        min_slow_samples: Minimum number of slow samples of an outlier, so that
            a single slow answer does not exclude an upstream.
        max_outlier_fraction: Maximum fraction of the peers in probation.
        probation_s: Duration of the first exclusion; doubled for each further
            one until the latency is normal again.
        max_probation_s: Maximum duration of an exclusion.
        good_probes: Number of probes of normal latency that end a probation.
        load_report_half_life_s: Age at which the weight of a load report has
            halved.
        history: Number of decisions that are kept for explanation.
    """

    admission_limits: Mapping[model.TrafficClass, int] = attrs.field(
        factory=_default_admission_limits
    )
    recheck_interval_s: float = 0.05
    spillover_delay_s: float = 0.05
    ownership_delay_s: float = 2.0
    gossip_window_s: float = 2.0
    burst_factor: float = 1.5
    burst_mean_fraction: float = 0.75
    burst_region_fraction: float = 0.75
    bulk_free_slots: int = 1
    slow_start_s: float = 10.0
    startup_grace_s: float = 5.0
    max_wait_fractions: Mapping[model.TrafficClass, float] = attrs.field(
        factory=_default_wait_fractions
    )
    max_attempts: int = 3
    max_connect_attempts: int = 6
    retry_percent: float = 1.5
    hedge_percent: float = 3.0
    budget_burst: float = 5.0
    hedge_quantile: float = 0.97
    hedge_full_load: float = 0.5
    hedge_no_load: float = 0.9
    slow_factor: float = 2.5
    min_slow_samples: int = 3
    max_outlier_fraction: float = 0.5
    probation_s: float = 1.0
    max_probation_s: float = 30.0
    good_probes: int = 2
    load_report_half_life_s: float = 1.0
    history: int = 1_000
