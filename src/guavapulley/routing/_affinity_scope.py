"""Choice between preferred upstreams per region and per failure domain."""

from guavapulley.routing import _placement
from guavapulley.routing import _staffing
from guavapulley.routing import _working_set

# Utilization from which processing of cold objects takes slots that other
# requests wait for, in a domain with few slots. It is higher where
# `safe_utilization` is.
HIGH_UTILIZATION = 0.6
# Below the former by this margin it does not; prevents oscillation.
UTILIZATION_MARGIN = 0.2
# Below this number of requests per object within the time that `WorkingSet`
# covers, an object is not made warm in the domain: the work that a warm object
# saves, divided by so few requests, is less than the cost of crossing domains.
MIN_REQUESTS_PER_OBJECT = (
    1 - _placement.WARM_FACTOR
) / _placement.BUSY_DOMAIN_COST


class AffinityScope:
    """Decides how many preferred upstreams an object has, by the region's load.

    With one preferred upstream in each failure domain no request leaves its
    domain, and each object is processed cold once in each domain. With one in
    the region the object is processed cold only once, but requests cross
    domains, which costs a millisecond and the transferred bytes. Under load
    the slots that this saves are worth more. The region's preferred upstream
    is always one of the domains' preferred ones, so that it is warm already
    when the load rises.

    At first nothing is warm anywhere. A domain with many slots has room to
    process all objects cold, so that its objects need not move later; one with
    few slots starts with the preferred upstreams of the region.

    Args:
        domain_slots: Slots of the entry's failure domain.

    Attributes:
        region_wide: Whether an object has one preferred upstream in the
            region.
    """

    def __init__(self, domain_slots: int = 0) -> None:
        self.region_wide = (
            _staffing.safe_utilization(domain_slots) <= HIGH_UTILIZATION
        )

    def update(
        self,
        utilization: float,
        requests_per_object: _working_set.RequestsPerObject,
        domain_slots: int = 0,
    ) -> None:
        """Adapts to the load of the region.

        Args:
            utilization: Requests at the region's upstreams and waiting for
                them, relative to their slots.
            requests_per_object: Recent requests per object from the entry's
                own failure domain.
            domain_slots: Slots of the entry's failure domain.
        """
        high_utilization = max(
            HIGH_UTILIZATION, _staffing.safe_utilization(domain_slots)
        )
        if (
            utilization >= high_utilization
            or requests_per_object.upper_bound < MIN_REQUESTS_PER_OBJECT
        ):
            self.region_wide = True
        elif (
            utilization < high_utilization - UTILIZATION_MARGIN
            and requests_per_object.estimate >= MIN_REQUESTS_PER_OBJECT
        ):
            self.region_wide = False
