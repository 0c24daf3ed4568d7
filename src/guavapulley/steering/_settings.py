"""Constants of the steering policy."""

from collections.abc import Mapping

import attrs

from guavapulley import model


def _class_limits() -> Mapping[model.TrafficClass, int]:
    return {
        model.TrafficClass.SHORT: 128,
        model.TrafficClass.ONCE: 64,
        model.TrafficClass.BULK: 64,
    }


def _wait_parts() -> Mapping[model.TrafficClass, float]:
    return {
        model.TrafficClass.SHORT: 0.1,
        model.TrafficClass.ONCE: 0.25,
        model.TrafficClass.BULK: 1.0,
    }


@attrs.frozen
class SteeringSettings:
    """Constants of the steering policy.

    Attributes:
        admission_limits: Most requests of a traffic class, waiting or running,
            in one entry. Bulk work cannot use the places of the others.
        recheck_s: A waiting request looks at changed views this often.
        spill_after_s: Waiting time after which other regions are considered
            although the region of the entry has usable upstreams.
        ownership_delay_s: A newly owned slot is used without restriction only
            after this time, because its previous owner may not know yet. It
            covers the usual delay of gossip.
        hold_s: Counts and claims of other entries are taken at their highest
            of this time, because they arrive up to 2 s late.
        burst_factor: Short requests in flight in a region, in multiples of the
            own part, to which a burst may go.
        burst_mean_part: Part of the own part that the mean use of a second
            must be below for a burst.
        burst_region_part: Part of the slots of a region that must be known to
            be in use at most, with the burst.
        bulk_free_slots: Slots of each region that bulk work leaves free when
            the region has more than this many times four slots.
        slow_start_s: Time over which a new incarnation gets all its slots.
        settling_s: Incarnations first seen within this time after the start
            of the entry are not new.
        max_wait_parts: Part of the deadline that a request may wait; one that
            would wait longer is refused at once, so that its caller can use
            another entry.
        max_attempts: Attempts for one request that may have run, without
            hedges.
        max_connects: Attempts for one request that did not run.
        retry_percent: Retries, in percent of the requests.
        hedge_percent: Hedges, in percent of the requests, at low load.
        budget_burst: Retries or hedges that can be saved up.
        hedge_quantile: Quantile of recent latencies after which a hedge
            starts.
        hedge_full_load: Load up to which the whole hedge budget is earned.
        hedge_no_load: Load from which no hedge is sent.
        slow_factor: Latency in multiples of the median of the peers from
            which on an upstream is an outlier.
        min_slow_samples: Slow samples that are needed, so that single
            stragglers make no outlier.
        max_outlier_part: Largest part of the peers in probation.
        probation_s: First probation; doubles with each failed probe.
        max_probation_s: Longest probation.
        good_probes: Probes of normal latency that end a probation.
        report_half_life_s: Age that halves the weight of a load report.
        history: Decisions that are kept for explanation.
    """

    admission_limits: Mapping[model.TrafficClass, int] = attrs.field(
        factory=_class_limits
    )
    recheck_s: float = 0.05
    spill_after_s: float = 0.05
    ownership_delay_s: float = 2.0
    hold_s: float = 2.0
    burst_factor: float = 1.5
    burst_mean_part: float = 0.75
    burst_region_part: float = 0.75
    bulk_free_slots: int = 1
    slow_start_s: float = 10.0
    settling_s: float = 5.0
    max_wait_parts: Mapping[model.TrafficClass, float] = attrs.field(
        factory=_wait_parts
    )
    max_attempts: int = 3
    max_connects: int = 6
    retry_percent: float = 1.5
    hedge_percent: float = 3.0
    budget_burst: float = 5.0
    hedge_quantile: float = 0.97
    hedge_full_load: float = 0.5
    hedge_no_load: float = 0.9
    slow_factor: float = 2.5
    min_slow_samples: int = 3
    max_outlier_part: float = 0.5
    probation_s: float = 1.0
    max_probation_s: float = 30.0
    good_probes: int = 2
    report_half_life_s: float = 1.0
    history: int = 1_000
