"""Load patterns: deployments, kinds of requests and disturbances."""

from collections.abc import Mapping

import attrs

MILLISECOND_S = 0.001


@attrs.frozen
class ServiceModel:
    """Model of the upstreams of a service.

    Attributes:
        upstreams: Number of upstreams in each failure domain.
        slots: Number of requests that an upstream works on at a time.
        max_queued: Number of requests that wait in an upstream before it
            refuses more.
        cold_work_s: Mean time of the work on an object that is not warm, in
            seconds.
        warm_factor: Factor of that time for an object that is warm.
        max_warm_objects: Number of objects that an upstream keeps warm.
        noise_fraction: Fraction of the time in which other load on its machine
            slows an upstream.
        noise_factor: Factor by which work takes longer in that time.
    """

    upstreams: Mapping[str, int]
    slots: int
    max_queued: int
    cold_work_s: float
    warm_factor: float = 0.3
    max_warm_objects: int = 25
    noise_fraction: float = 0.15
    noise_factor: float = 2.5


@attrs.frozen
class RequestKind:
    """A kind of requests.

    Attributes:
        service: Service that answers them.
        rate_per_s: Mean number of requests per second of all callers together.
        objects_per_region: Number of distinct objects in each region.
        target_s: Target latency, in seconds; an answer within it has its full
            value.
        timeout_s: Timeout at the entry, in seconds.
        caller_timeout_s: Timeout of the caller for all attempts, in seconds.
        once: Whether a request may run at most once.
        priority: Priority; 0 is the most urgent.
        value: Value of an answer within the target latency.
        late_value: Value of a later answer.
    """

    service: str
    rate_per_s: float
    objects_per_region: int
    target_s: float
    timeout_s: float
    caller_timeout_s: float
    once: bool = False
    priority: int = 1
    value: float = 1.0
    late_value: float = 0.2


@attrs.frozen
class Disturbance:
    """A temporary disturbance of upstreams, a failure domain or all entries.

    Attributes:
        starts_at_s: Time in the run at which it starts, in seconds.
        duration_s: Duration in seconds.
        kind: `slow`, `fail`, `crash`, `leave`, `refuse`, `evacuate` or
            `restart`. Upstreams that leave say so in their answers only.
        fraction: Fraction of the upstreams that it affects; for `evacuate`, the
            index of the failure domain in `LoadPattern.regions`.
        factor: For `slow`, the factor by which work takes longer; for `fail`,
            the fraction of the requests that fail; for `refuse`, the seconds
            for which an upstream wants no further requests.
    """

    starts_at_s: float
    duration_s: float
    kind: str
    fraction: float = 0.15
    factor: float = 4.0


@attrs.frozen
class LoadPattern:
    """A deployment and the load on it.

    Attributes:
        summary: Description for the command line.
        regions: Region of each failure domain.
        entries_per_domain: Number of entries in each failure domain.
        domain_delay_s: One-way delay between domains of a region, in seconds.
        region_delay_s: One-way delay between regions, in seconds.
        services: Services by name.
        kinds: Kinds of requests by name.
        load_factor: Factor of the request rates of all kinds.
        swing_fraction: Amplitude of the sine wave of a region's request rate,
            as a fraction of the mean rate.
        disturbances: Disturbances during the run.
    """

    summary: str
    regions: Mapping[str, str]
    entries_per_domain: int
    domain_delay_s: float
    region_delay_s: float
    services: Mapping[str, ServiceModel]
    kinds: Mapping[str, RequestKind]
    load_factor: float = 1.0
    swing_fraction: float = 0.5
    disturbances: tuple[Disturbance, ...] = ()


GALVANOVNA_DOMAINS = {
    "pb-1": "pb",
    "pb-2": "pb",
    "za-1": "za",
    "za-2": "za",
    "tn-1": "tn",
    "tn-2": "tn",
}
_GALVANOVNA_UPSTREAMS = {
    "pb-1": 2,
    "pb-2": 2,
    "za-1": 3,
    "za-2": 3,
    "tn-1": 1,
    "tn-2": 1,
}
# The sizes are those of the users' brief; the times of the work and the targets
# are those of the users' platform page.
GALVANOVNA = LoadPattern(
    "plating shop on a quiet day",
    GALVANOVNA_DOMAINS,
    1,
    1 * MILLISECOND_S,
    35 * MILLISECOND_S,
    {
        "line-status": ServiceModel(_GALVANOVNA_UPSTREAMS, 7, 21, 0.75),
        "batch-release": ServiceModel(_GALVANOVNA_UPSTREAMS, 3, 9, 0.99),
        "inspection-archive": ServiceModel(
            _GALVANOVNA_UPSTREAMS, 7, 21, 1.9, noise_fraction=0.0
        ),
    },
    {
        "status": RequestKind("line-status", 118, 29, 0.6, 1.5, 4, priority=2),
        "release": RequestKind(
            "batch-release", 38.5, 24, 0.8, 2, 6, True, 1, 2, 0.4
        ),
        "archive": RequestKind(
            "inspection-archive", 51.4, 24, 1.5, 4, 12, priority=2
        ),
    },
)

_LARGE_DOMAINS = {
    **GALVANOVNA_DOMAINS,
    "pb-3": "pb",
    "za-3": "za",
    "tn-3": "tn",
}


def _upstreams_by_region(**counts: int) -> Mapping[str, int]:
    """Returns the number of upstreams in each domain of the large pattern.

    Args:
        **counts: Number of upstreams in each domain of a region.
    """
    return {domain: counts[region] for domain, region in _LARGE_DOMAINS.items()}


# Each entry sees only a few requests a second and few of the objects.
GALVANOVNA_LARGE = LoadPattern(
    "plating shop with 198 entries and 543 upstreams",
    _LARGE_DOMAINS,
    22,
    1.4 * MILLISECOND_S,
    35 * MILLISECOND_S,
    {
        "line-status": ServiceModel(
            _upstreams_by_region(pb=30, za=35, tn=7),
            9,
            27,
            2.64,
            warm_factor=0.25,
            max_warm_objects=13,
        ),
        "batch-release": ServiceModel(
            _upstreams_by_region(pb=13, za=15, tn=3),
            9,
            27,
            3.48,
            warm_factor=0.25,
            max_warm_objects=10,
        ),
        "inspection-archive": ServiceModel(
            _upstreams_by_region(pb=32, za=38, tn=8),
            9,
            27,
            6.48,
            warm_factor=0.25,
            max_warm_objects=8,
            noise_fraction=0.0,
        ),
    },
    {
        "status": RequestKind("line-status", 672, 155, 1.5, 4, 12, priority=2),
        "release": RequestKind(
            "batch-release", 220, 50, 2, 5, 15, True, 1, 2, 0.4
        ),
        "archive": RequestKind(
            "inspection-archive", 293, 67, 4, 10, 30, priority=2
        ),
    },
)

_SIAM_DOMAINS = {
    "bkk-1": "bkk",
    "bkk-2": "bkk",
    "cnx-1": "cnx",
    "cnx-2": "cnx",
    "hdy-1": "hdy",
    "hdy-2": "hdy",
}
SIAM = LoadPattern(
    "cold frame head office on a quiet day",
    _SIAM_DOMAINS,
    2,
    0.5 * MILLISECOND_S,
    20 * MILLISECOND_S,
    {
        "stock": ServiceModel(
            dict(zip(_SIAM_DOMAINS, (4, 4, 1, 1, 3, 3), strict=True)),
            3,
            9,
            0.41,
        ),
        "orders": ServiceModel(
            dict(zip(_SIAM_DOMAINS, (3, 3, 1, 1, 2, 2), strict=True)),
            3,
            9,
            0.54,
        ),
        "catalogue": ServiceModel(
            dict(zip(_SIAM_DOMAINS, (3, 3, 1, 1, 2, 2), strict=True)),
            3,
            9,
            1.0,
            noise_fraction=0.0,
        ),
    },
    {
        "stock": RequestKind("stock", 70, 29, 0.4, 1.2, 2.5, priority=2),
        "order": RequestKind("orders", 22, 24, 0.4, 1.5, 3, True, 1, 2, 0.4),
        "catalogue": RequestKind("catalogue", 20, 24, 0.8, 3, 6, priority=2),
    },
)


def _add_disturbances(
    base: LoadPattern, summary: str, load_factor: float
) -> LoadPattern:
    return attrs.evolve(
        base,
        summary=summary,
        load_factor=load_factor,
        disturbances=(
            Disturbance(6, 5, "slow", 0.2),
            Disturbance(9, 6, "evacuate", 0.0),
            Disturbance(14, 3, "crash", 0.15),
            Disturbance(18, 4, "fail", 0.2, 0.4),
        ),
    )


PATTERNS: Mapping[str, LoadPattern] = {
    "galvanovna-quiet": GALVANOVNA,
    "galvanovna-load": _add_disturbances(
        GALVANOVNA, "plating shop, many callers, slow and lost upstreams", 1.35
    ),
    "siam-quiet": SIAM,
    "siam-load": _add_disturbances(
        SIAM, "head office, many callers, slow and lost upstreams", 1.7
    ),
    "galvanovna-large": GALVANOVNA_LARGE,
    "galvanovna-large-load": attrs.evolve(
        GALVANOVNA_LARGE,
        summary="198 entries, twice the callers, slow and lost upstreams",
        load_factor=2.0,
        disturbances=(
            Disturbance(6, 4, "slow", 0.15, 3.0),
            Disturbance(10, 3, "crash", 0.12),
            Disturbance(13, 8, "fail", 0.15, 0.5),
        ),
    ),
    "galvanovna-withdrawals": attrs.evolve(
        GALVANOVNA,
        summary="upstreams that leave, and that refuse requests for a time",
        disturbances=(
            Disturbance(3, 20, "leave", 0.25),
            Disturbance(6, 4, "refuse", 0.4, 1.5),
            Disturbance(14, 3, "refuse", 1.0, 1.0),
        ),
    ),
    "galvanovna-restart": attrs.evolve(
        GALVANOVNA,
        summary="all entries lose power and return",
        disturbances=(Disturbance(12, 2, "restart"),),
    ),
}
