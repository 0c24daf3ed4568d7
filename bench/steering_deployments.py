"""The two deployments of the design page, with assumed service times.

The page gives sizes and delays but no service times. Those of short reads are
lognormal with a median of 12 ms (status) or 8 ms (stock); 0.5 % and 0.3 % of
the reads are stragglers, which take 15 and 20 times as long. Archive lookups
and catalogue pulls take seconds.
"""

import attrs

from bench import steering_simulation
from guavapulley import model

SHORT = model.TrafficClass.SHORT
ONCE = model.TrafficClass.ONCE
BULK = model.TrafficClass.BULK

GALVANOVNA = steering_simulation.Deployment(
    "galvanovna",
    ("pb", "za", "tn"),
    0.001,
    0.035,
    11,
    (
        steering_simulation.ServiceSpec(
            model.Service("line-status", SHORT),
            12,
            6,
            steering_simulation.ServiceTimes(0.012, 0.5, 0.005, 15),
        ),
        steering_simulation.ServiceSpec(
            model.Service("inspection-archive", BULK, deadline_ms=30_000),
            12,
            6,
            steering_simulation.ServiceTimes(2.0, 0.6, 0.01, 5),
        ),
        steering_simulation.ServiceSpec(
            model.Service("batch-release", ONCE),
            12,
            3,
            steering_simulation.ServiceTimes(0.15, 0.4, 0.005, 10),
        ),
    ),
)

SIAM = steering_simulation.Deployment(
    "siam",
    ("bkk", "cnx", "hdy"),
    0.0005,
    0.020,
    11,
    (
        steering_simulation.ServiceSpec(
            model.Service("stock-price", SHORT),
            16,
            3,
            steering_simulation.ServiceTimes(0.008, 0.5, 0.003, 20),
        ),
        steering_simulation.ServiceSpec(
            model.Service("catalogue-sync", BULK, deadline_ms=120_000),
            12,
            3,
            steering_simulation.ServiceTimes(4.0, 0.5, 0.01, 4),
        ),
        steering_simulation.ServiceSpec(
            model.Service("order-booking", ONCE),
            12,
            3,
            steering_simulation.ServiceTimes(0.12, 0.4, 0.005, 10),
        ),
    ),
)


def with_entries(
    deployment: steering_simulation.Deployment, entries: int
) -> steering_simulation.Deployment:
    """Returns a deployment with another number of entries."""
    return attrs.evolve(deployment, entries=entries)


def rate_for_utilization(
    deployment: steering_simulation.Deployment, service: str, utilization: float
) -> float:
    """Returns the requests per second that use a fraction of all slots.

    Args:
        deployment: The deployment.
        service: Name of the service.
        utilization: Fraction of the slots; above 1 for an overload.
    """
    spec = next(
        spec for spec in deployment.services if spec.service.name == service
    )
    slots = spec.upstreams * spec.slots
    return utilization * slots / spec.service_times.mean_s()
